//! Tests of the choice of an upstream.

use basilgrade_policy::candidate;
use basilgrade_policy::refusal;
use basilgrade_policy::router;
use basilgrade_policy::router::Router;
use basilgrade_policy::router::least_outstanding;
use basilgrade_policy::router::random;
use basilgrade_policy::router::round_robin;
use basilgrade_policy::router::scored;
use basilgrade_policy::router::settings;
use basilgrade_policy::router::two_choices;
use basilgrade_types::clock;
use rand::SeedableRng;
use rand::rngs;

const NOW: clock::Millis = clock::Millis(100_000);

fn test_engine(index: u32) -> candidate::Candidate {
    candidate::Candidate {
        index,
        region: 0,
        capacity: 8,
        running: 2,
        queued: 0,
        reported: NOW,
        sent: 0,
        inflight: 0,
        limit: 64,
        service_time: 10.0,
        prefill: 0.5,
        decode: 10.0,
        cached_tokens: 0,
        weight: 1.0,
        price: 0.0,
    }
}

fn call() -> router::CallShape {
    router::CallShape {
        region: 0,
        bytes: 1 << 20,
        prices: vec![0.0, 400.0],
        latencies: vec![1.0, 10.0],
        prompt: 1000,
        output: 100,
        deadline: NOW + clock::Millis::from_secs(10),
        excluded: Vec::new(),
    }
}

fn all_routers() -> Vec<Box<dyn router::Router>> {
    vec![
        Box::new(scored::ScoredRouter::default()),
        Box::new(round_robin::RoundRobinRouter::default()),
        Box::new(random::RandomRouter),
        Box::new(least_outstanding::LeastOutstandingRouter),
        Box::new(two_choices::TwoChoicesRouter),
    ]
}

/// Number of times that each candidate is chosen in 1,000 calls.
fn choice_counts(
    chooser: &dyn router::Router,
    call: &router::CallShape,
    candidates: &[candidate::Candidate],
) -> Vec<u32> {
    let mut rng = rngs::StdRng::seed_from_u64(7);
    let mut choice_counts = vec![0; candidates.len()];
    for _ in 0..1000 {
        let choice = chooser.choose(NOW, call, candidates, &mut rng);
        choice_counts[choice.expect("the router should choose a candidate").index as usize] += 1;
    }
    choice_counts
}

/// Calls must not be sent to an upstream that is ejected or was already tried.
#[test]
fn excluded_and_ejected_upstreams_are_never_chosen() {
    let mut candidates: Vec<_> = (0..4).map(test_engine).collect();
    candidates[1].weight = 0.0;
    let mut call = call();
    call.excluded = vec![2];

    for router in all_routers() {
        let choice_counts = choice_counts(&*router, &call, &candidates);

        assert_eq!((choice_counts[1], choice_counts[2]), (0, 0));
    }
}

/// A saturated pool must not be reported as unavailable, because clients would then not retry.
#[test]
fn refusal_distinguishes_saturated_from_unserved_pools() {
    let mut at_limit = test_engine(0);
    at_limit.inflight = at_limit.limit;
    let mut ejected = test_engine(1);
    ejected.weight = 0.0;
    let mut rng = rngs::StdRng::seed_from_u64(7);

    for router in all_routers() {
        let saturated = router.choose(NOW, &call(), &[at_limit, ejected], &mut rng);
        let unserved = router.choose(NOW, &call(), &[ejected], &mut rng);
        let no_candidates = router.choose(NOW, &call(), &[], &mut rng);

        assert_eq!(saturated, Err(refusal::Refusal::Saturated));
        assert_eq!(unserved, Err(refusal::Refusal::Unserved));
        assert_eq!(no_candidates, Err(refusal::Refusal::Unserved));
    }
}

/// An upstream must not spend time on a call whose deadline has passed.
#[test]
fn call_after_its_deadline_is_refused() {
    let mut call = call();
    call.deadline = NOW;
    let mut rng = rngs::StdRng::seed_from_u64(7);

    let refused = scored::ScoredRouter::default().choose(NOW, &call, &[test_engine(0)], &mut rng);

    assert_eq!(refused, Err(refusal::Refusal::Deadline));
}

/// Own calls that are not yet included in the load report must not be ignored.
#[test]
fn own_calls_since_the_load_report_count_as_load() {
    let mut candidates: Vec<_> = (0..2).map(test_engine).collect();
    candidates[0].sent = 12;
    candidates[1].running = 5;

    let choice_counts = choice_counts(&scored::ScoredRouter::default(), &call(), &candidates);

    assert_eq!(choice_counts[0], 0);
}

/// A prompt must not be recomputed if an equally loaded engine has the prompt cached.
#[test]
fn cached_prefix_decides_between_equally_loaded_upstreams() {
    let mut candidates: Vec<_> = (0..4).map(test_engine).collect();
    candidates[3].cached_tokens = 900;

    let choice_counts = choice_counts(&scored::ScoredRouter::default(), &call(), &candidates);

    assert_eq!(choice_counts[3], 1000);
}

/// Traffic between regions must not be paid for while an upstream in the same region meets the
/// deadline.
#[test]
fn traffic_between_regions_is_paid_for_only_to_meet_the_deadline() {
    let mut near = test_engine(0);
    near.running = 8;
    let mut far = test_engine(1);
    far.region = 1;
    far.running = 0;
    let mut overloaded = near;
    overloaded.queued = 80;

    let near_in_time = choice_counts(&scored::ScoredRouter::default(), &call(), &[near, far]);
    let near_too_late = choice_counts(
        &scored::ScoredRouter::default(),
        &call(),
        &[overloaded, far],
    );

    assert_eq!(near_in_time[1], 0);
    assert_eq!(near_too_late[0], 0);
}

/// Daemons must not all send to the upstream that an old load report shows as idle.
#[test]
fn own_calls_outweigh_an_old_load_report() {
    let mut candidates: Vec<_> = (0..12).map(test_engine).collect();
    for candidate in &mut candidates {
        candidate.running = 6;
    }
    candidates[0].running = 2;
    candidates[0].inflight = 1;
    let router = scored::ScoredRouter::new(settings::ScoreSettings {
        daemons: 9.0,
        ..settings::ScoreSettings::default()
    });
    let without_aging = scored::ScoredRouter::new(settings::ScoreSettings {
        daemons: 9.0,
        half_age: clock::Millis::MAX,
        ..settings::ScoreSettings::default()
    });
    let with_new_report = choice_counts(&router, &call(), &candidates);
    for candidate in &mut candidates {
        candidate.reported = NOW - clock::Millis::from_secs(5);
    }

    let with_old_report = choice_counts(&router, &call(), &candidates);
    let with_old_report_trusted = choice_counts(&without_aging, &call(), &candidates);

    assert_eq!(with_new_report[0], 1000);
    assert_eq!(with_old_report[0], 0);
    assert_eq!(with_old_report_trusted[0], 1000);
}

/// An upstream that was ejected must not return to its full load at once.
#[test]
fn reduced_weight_reduces_the_share_of_calls() {
    let mut candidates: Vec<_> = (0..2).map(test_engine).collect();
    candidates[0].running = 0;
    candidates[0].weight = 0.25;

    let choice_counts = choice_counts(&scored::ScoredRouter::default(), &call(), &candidates);

    assert!(
        (150..350).contains(&choice_counts[0]),
        "candidate 0 was chosen {} times",
        choice_counts[0]
    );
}

/// The choice among equal upstreams must not favour the head of the list.
#[test]
fn calls_are_divided_evenly_over_equal_upstreams() {
    let candidates: Vec<_> = (0..4).map(test_engine).collect();

    for router in all_routers() {
        let choice_counts = choice_counts(&*router, &call(), &candidates);

        assert!(
            choice_counts.iter().all(|count| *count > 150),
            "{choice_counts:?}"
        );
    }
}
