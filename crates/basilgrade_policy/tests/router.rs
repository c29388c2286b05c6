//! Choice of an upstream.

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

fn engine(index: u32) -> candidate::Candidate {
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

fn all() -> Vec<Box<dyn router::Router>> {
    vec![
        Box::new(scored::ScoredRouter::default()),
        Box::new(round_robin::RoundRobinRouter::default()),
        Box::new(random::RandomRouter),
        Box::new(least_outstanding::LeastOutstandingRouter),
        Box::new(two_choices::TwoChoicesRouter),
    ]
}

/// How often each of `count` upstreams is chosen in 1,000 calls.
fn counts(
    chooser: &dyn router::Router,
    call: &router::CallShape,
    candidates: &[candidate::Candidate],
) -> Vec<u32> {
    let mut rng = rngs::StdRng::seed_from_u64(7);
    let mut counts = vec![0; candidates.len()];
    for _ in 0..1000 {
        let choice = chooser.choose(NOW, call, candidates, &mut rng);
        counts[choice.expect("a choice").index as usize] += 1;
    }
    counts
}

/// Guards against sending to an upstream that is ejected or was already tried.
#[test]
fn closed_upstreams_are_never_chosen() {
    let mut candidates: Vec<_> = (0..4).map(engine).collect();
    candidates[1].weight = 0.0;
    let mut call = call();
    call.excluded = vec![2];

    for router in all() {
        let counts = counts(&*router, &call, &candidates);

        assert_eq!((counts[1], counts[2]), (0, 0));
    }
}

/// Guards against reporting a busy pool as gone, which callers would not wait for.
#[test]
fn a_refusal_tells_busy_from_gone() {
    let mut full = engine(0);
    full.inflight = full.limit;
    let mut gone = engine(1);
    gone.weight = 0.0;
    let mut rng = rngs::StdRng::seed_from_u64(7);

    for router in all() {
        let busy = router.choose(NOW, &call(), &[full, gone], &mut rng);
        let none = router.choose(NOW, &call(), &[gone], &mut rng);
        let empty = router.choose(NOW, &call(), &[], &mut rng);

        assert_eq!(busy, Err(refusal::Refusal::Saturated));
        assert_eq!(none, Err(refusal::Refusal::Unserved));
        assert_eq!(empty, Err(refusal::Refusal::Unserved));
    }
}

/// Guards against spending an upstream's time on a call whose deadline has passed.
#[test]
fn an_expired_call_is_refused() {
    let mut call = call();
    call.deadline = NOW;
    let mut rng = rngs::StdRng::seed_from_u64(7);

    let refused = scored::ScoredRouter::default().choose(NOW, &call, &[engine(0)], &mut rng);

    assert_eq!(refused, Err(refusal::Refusal::Deadline));
}

/// Guards against ignoring own calls that the last report does not include.
#[test]
fn own_calls_since_the_report_count_as_load() {
    let mut candidates: Vec<_> = (0..2).map(engine).collect();
    candidates[0].sent = 12;
    candidates[1].running = 5;

    let counts = counts(&scored::ScoredRouter::default(), &call(), &candidates);

    assert_eq!(counts[0], 0);
}

/// Guards against recomputing a prompt that an equally loaded engine has cached.
#[test]
fn a_cached_prefix_wins_between_equals() {
    let mut candidates: Vec<_> = (0..4).map(engine).collect();
    candidates[3].cached_tokens = 900;

    let counts = counts(&scored::ScoredRouter::default(), &call(), &candidates);

    assert_eq!(counts[3], 1000);
}

/// Guards against paying for traffic between regions while the near upstream meets the deadline.
#[test]
fn traffic_is_paid_for_only_to_meet_the_deadline() {
    let mut near = engine(0);
    near.running = 8;
    let mut far = engine(1);
    far.region = 1;
    far.running = 0;
    let mut overloaded = near;
    overloaded.queued = 80;

    let idle = counts(&scored::ScoredRouter::default(), &call(), &[near, far]);
    let busy = counts(
        &scored::ScoredRouter::default(),
        &call(),
        &[overloaded, far],
    );

    assert_eq!(idle[1], 0);
    assert_eq!(busy[0], 0);
}

/// Guards against all daemons sending to the upstream that an old report shows as idle.
#[test]
fn an_old_report_counts_less_than_own_calls() {
    let mut candidates: Vec<_> = (0..12).map(engine).collect();
    for candidate in &mut candidates {
        candidate.running = 6;
    }
    candidates[0].running = 2;
    candidates[0].inflight = 1;
    let router = scored::ScoredRouter::new(settings::ScoreSettings {
        daemons: 9.0,
        ..settings::ScoreSettings::default()
    });
    let trusting = scored::ScoredRouter::new(settings::ScoreSettings {
        daemons: 9.0,
        half_age: clock::Millis::MAX,
        ..settings::ScoreSettings::default()
    });
    let fresh = counts(&router, &call(), &candidates);
    for candidate in &mut candidates {
        candidate.reported = NOW - clock::Millis::from_secs(5);
    }

    let old = counts(&router, &call(), &candidates);
    let disabled = counts(&trusting, &call(), &candidates);

    assert_eq!(fresh[0], 1000);
    assert_eq!(old[0], 0);
    assert_eq!(disabled[0], 1000);
}

/// Guards against an all-or-nothing return of an upstream that was ejected.
#[test]
fn a_reduced_weight_reduces_the_share() {
    let mut candidates: Vec<_> = (0..2).map(engine).collect();
    candidates[0].running = 0;
    candidates[0].weight = 0.25;

    let counts = counts(&scored::ScoredRouter::default(), &call(), &candidates);

    assert!(
        (150..350).contains(&counts[0]),
        "chosen {} times",
        counts[0]
    );
}

/// Guards against a bias towards the head of the list among equal upstreams.
#[test]
fn equal_upstreams_share_evenly() {
    let candidates: Vec<_> = (0..4).map(engine).collect();

    for router in all() {
        let counts = counts(&*router, &call(), &candidates);

        assert!(counts.iter().all(|count| *count > 150), "{counts:?}");
    }
}
