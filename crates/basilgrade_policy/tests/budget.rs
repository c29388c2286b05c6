//! Tests of the division of a request's time over its stages.

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

fn parsed<T: std::str::FromStr<Err: std::fmt::Debug>>(text: &str) -> T {
    text.parse().expect("the text should be a valid name")
}

fn test_stage(text: &str, degrade: stage::Degrade) -> stage::Stage {
    stage::Stage {
        id: parsed(text),
        pool: parsed("pool"),
        model: None,
        tokens: size::TokenCount(100),
        idempotency: stage::Idempotency::Idempotent,
        degrade,
    }
}

/// A planner for one pipeline. Stage `index` degrades as `degrade[index]` and was observed 100
/// times, spread evenly from 0.9 to 1.1 times `times[index]` milliseconds.
fn planner(times: &[f32], degrade: &[stage::Degrade]) -> planner::Planner {
    let stages = degrade
        .iter()
        .enumerate()
        .map(|(index, degrade)| test_stage(&format!("s{index}"), degrade.clone()))
        .collect();
    let id: id::PipelineId = parsed("assistant");
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

fn now_plus(offset_ms: u64) -> clock::Millis {
    NOW + clock::Millis(offset_ms)
}

/// A first stage must not use up the time that a later stage needs.
#[test]
fn plan_reserves_time_for_later_stages() {
    let planner = planner(
        &[100.0, 3000.0],
        &[stage::Degrade::Never, stage::Degrade::Never],
    );

    let plan = planner
        .plan(NOW, 0, 0, now_plus(4000))
        .expect("the planner should return a plan");

    let first = plan.steps[0].deadline;
    assert!(first > now_plus(100) && first < now_plus(900), "{first}");
    assert!(plan.steps[1].deadline >= now_plus(3990));
}

/// A request that cannot meet its deadline must be refused before it causes any cost, but must not
/// be refused after its first stage has run.
#[test]
fn request_that_cannot_meet_its_deadline_is_refused_only_before_its_first_stage() {
    let planner = planner(
        &[100.0, 3000.0],
        &[stage::Degrade::Never, stage::Degrade::Never],
    );
    let refused = |stage| {
        let plans = (0..32).map(|_| planner.plan(NOW, 0, stage, now_plus(2000)));
        plans
            .filter(|plan| *plan == Err(refusal::Refusal::Deadline))
            .count()
    };

    let refused_at_start = refused(0);
    let refused_later = refused(1);

    // One request in 4 is admitted as a probe, so that the stage times are still observed.
    assert_eq!(refused_at_start, 24);
    assert_eq!(refused_later, 0);
}

/// Answers must not be degraded while the full answer would meet the deadline.
#[test]
fn stages_are_degraded_only_when_time_is_short() {
    let degrade = [
        stage::Degrade::Skip,
        stage::Degrade::Shorten(size::TokenCount(50)),
    ];
    let planner = planner(&[1000.0, 3000.0], &degrade);
    let actions = |offset_ms| {
        let plan = planner
            .plan(NOW, 0, 0, now_plus(offset_ms))
            .expect("the planner should return a plan");
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

/// A pipeline without any observations must not refuse requests.
#[test]
fn stages_without_observations_are_planned() {
    let planner = planner(&[], &[stage::Degrade::Never, stage::Degrade::Never]);

    let plan = planner
        .plan(NOW, 0, 0, now_plus(100))
        .expect("the planner should return a plan");

    assert_eq!(plan.steps.len(), 2);
    assert_eq!(plan.steps[0].deadline, now_plus(51));
}

/// Stage times observed during a past fault must not dominate the quantiles.
#[test]
fn old_observations_lose_weight() {
    let times = quantiles::TimeQuantiles::default();
    for _ in 0..1000 {
        times.observe(NOW, 5000.0);
    }
    let later = NOW + clock::Millis::from_secs(20);
    for _ in 0..200 {
        times.observe(later, 50.0);
    }

    let after = times
        .summary(later)
        .expect("200 observations should yield quantiles");
    let expired = times.summary(later + clock::Millis::from_secs(100));

    assert!((40.0..60.0).contains(&after.median), "{after:?}");
    assert_eq!(expired, None);
}

/// The error of a quantile must not exceed the width of a histogram bucket, which is 19%.
#[test]
fn quantiles_are_accurate_within_a_fifth() {
    let times = quantiles::TimeQuantiles::default();
    for time in 1..=1000u16 {
        times.observe(NOW, f32::from(time));
    }

    let summary = times
        .summary(NOW)
        .expect("1,000 observations should yield quantiles");

    assert!((400.0..600.0).contains(&summary.median), "{summary:?}");
    assert!((720.0..1080.0).contains(&summary.p90), "{summary:?}");
    assert!((760.0..1140.0).contains(&summary.p95), "{summary:?}");
}
