//! Division of a request's time over its stages.

use basilgrade_config::model::deployment;
use basilgrade_config::model::pipeline;
use basilgrade_config::model::stage;
use basilgrade_policy::budget::plan;
use basilgrade_policy::budget::planner;
use basilgrade_policy::budget::quantiles;
use basilgrade_policy::refusal;
use basilgrade_types::clock;
use basilgrade_types::id;
use basilgrade_types::size;

const NOW: clock::Millis = clock::Millis(100_000);

fn name<T: std::str::FromStr<Err: std::fmt::Debug>>(text: &str) -> T {
    text.parse().expect("a valid name")
}

fn stage_of(text: &str, degrade: stage::Degrade) -> stage::Stage {
    stage::Stage {
        id: name(text),
        pool: name("pool"),
        model: None,
        tokens: size::TokenCount(100),
        idempotency: stage::Idempotency::Idempotent,
        degrade,
    }
}

/// A planner for one pipeline whose stages take `times`, each observed with a spread of a fifth.
fn planner(times: &[f32], degrade: &[stage::Degrade]) -> planner::Planner {
    let stages = degrade
        .iter()
        .enumerate()
        .map(|(index, degrade)| stage_of(&format!("s{index}"), degrade.clone()))
        .collect();
    let id: id::PipelineId = name("assistant");
    let found = pipeline::Pipeline {
        id: id.clone(),
        deadline: clock::Millis::from_secs(10),
        stages,
    };
    let mut deployment = deployment::Deployment::default();
    deployment.pipelines.insert(id, found);
    let planner = planner::Planner::new(&deployment);
    for (stage, time) in times.iter().enumerate() {
        for step in 0..100u8 {
            let spread = 0.9 + 0.2 * f32::from(step) / 100.0;
            planner.observe(NOW, 0, stage, plan::Action::Run, time * spread);
        }
    }
    planner
}

fn in_millis(span: u64) -> clock::Millis {
    NOW + clock::Millis(span)
}

/// Guards against a first stage that uses up the time of a later one.
#[test]
fn later_stages_keep_their_time() {
    let planner = planner(
        &[100.0, 3000.0],
        &[stage::Degrade::Never, stage::Degrade::Never],
    );

    let plan = planner.plan(NOW, 0, 0, in_millis(4000)).expect("a plan");

    let first = plan.steps[0].deadline;
    assert!(first > in_millis(100) && first < in_millis(900), "{first}");
    assert!(plan.steps[1].deadline >= in_millis(3990));
}

/// Guards against paying for a request that cannot meet its deadline.
#[test]
fn a_hopeless_request_is_refused_before_it_runs() {
    let planner = planner(
        &[100.0, 3000.0],
        &[stage::Degrade::Never, stage::Degrade::Never],
    );
    let refused = |stage| {
        let plans = (0..32).map(|_| planner.plan(NOW, 0, stage, in_millis(2000)));
        plans
            .filter(|plan| *plan == Err(refusal::Refusal::Deadline))
            .count()
    };

    let at_start = refused(0);
    let later = refused(1);

    // One in 4 is let through, so that the stage times are still observed.
    assert_eq!(at_start, 24);
    assert_eq!(later, 0);
}

/// Guards against degraded answers while the whole answer would be in time.
#[test]
fn degradation_is_used_only_when_time_is_short() {
    let degrade = [
        stage::Degrade::Skip,
        stage::Degrade::Shorten(size::TokenCount(50)),
    ];
    let planner = planner(&[1000.0, 3000.0], &degrade);
    let actions = |span| {
        let plan = planner.plan(NOW, 0, 0, in_millis(span)).expect("a plan");
        plan.steps
            .iter()
            .map(|step| step.action)
            .collect::<Vec<_>>()
    };
    let short = plan::Action::Shorten(size::TokenCount(50));

    assert_eq!(actions(6000), [plan::Action::Run, plan::Action::Run]);
    assert_eq!(actions(3500), [plan::Action::Run, short]);
    assert_eq!(actions(2000), [plan::Action::Skip, short]);
}

/// Guards against refusals by a pipeline that nobody has used yet.
#[test]
fn unknown_stages_are_planned() {
    let planner = planner(&[], &[stage::Degrade::Never, stage::Degrade::Never]);

    let plan = planner.plan(NOW, 0, 0, in_millis(100)).expect("a plan");

    assert_eq!(plan.steps.len(), 2);
    assert_eq!(plan.steps[0].deadline, in_millis(51));
}

/// Guards against planning with the times of a fault that is over.
#[test]
fn old_times_lose_weight() {
    let times = quantiles::TimeQuantiles::default();
    for _ in 0..1000 {
        times.observe(NOW, 5000.0);
    }
    let later = NOW + clock::Millis::from_secs(20);
    for _ in 0..200 {
        times.observe(later, 50.0);
    }

    let after = times.summary(later).expect("known");
    let empty = times.summary(later + clock::Millis::from_secs(100));

    assert!((40.0..60.0).contains(&after.median), "{after:?}");
    assert_eq!(empty, None);
}

/// Guards against quantiles that are off by more than the width of a bucket.
#[test]
fn quantiles_are_within_a_fifth() {
    let times = quantiles::TimeQuantiles::default();
    for time in 1..=1000u16 {
        times.observe(NOW, f32::from(time));
    }

    let summary = times.summary(NOW).expect("known");

    assert!((400.0..600.0).contains(&summary.median), "{summary:?}");
    assert!((720.0..1080.0).contains(&summary.p90), "{summary:?}");
    assert!((760.0..1140.0).contains(&summary.p95), "{summary:?}");
}
