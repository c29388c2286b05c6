//! Second calls for the same stage.

use basilgrade_config::model::pool;
use basilgrade_config::model::stage;
use basilgrade_policy::retry::backoff;
use basilgrade_policy::retry::budget;
use basilgrade_policy::retry::hedge;
use basilgrade_policy::retry::retry_rules;
use basilgrade_policy::router;
use basilgrade_policy::router::settings;
use basilgrade_types::clock;
use basilgrade_types::verdict;
use rand::SeedableRng;
use rand::rngs;

fn second(finish_ms: f32, cost: f32) -> router::Choice {
    router::Choice {
        index: 1,
        finish_ms,
        cost,
        reason: "score",
    }
}

/// Guards against running a non-idempotent call twice.
#[test]
fn a_call_that_may_have_run_is_repeated_only_where_that_is_harmless() {
    let (once, often) = (
        stage::Idempotency::NonIdempotent,
        stage::Idempotency::Idempotent,
    );
    let may = |verdict| retry_rules::may_retry(verdict, once, pool::Keys::Ignored);

    assert!(may(verdict::Verdict::NotRun));
    assert!(!may(verdict::Verdict::MayHaveRun));
    assert!(!may(verdict::Verdict::Ran));
    let unknown = verdict::Verdict::MayHaveRun;
    assert!(retry_rules::may_retry(unknown, often, pool::Keys::Ignored));
    assert!(retry_rules::may_retry(unknown, once, pool::Keys::Honoured));
    assert!(!retry_rules::may_hedge(once));
    assert!(retry_rules::may_hedge(often));
}

/// Guards against retries that multiply the load of an overloaded pool.
#[test]
fn retries_are_a_tenth_of_the_calls() {
    let budget = budget::RetryBudget::default();
    while budget.withdraw() {}

    for _ in 0..1000 {
        budget.deposit();
        let _ = budget.withdraw();
    }
    let spent = (0..1000).filter(|_| {
        budget.deposit();
        budget.withdraw()
    });

    assert_eq!(spent.count(), 100);
}

/// Guards against hedges that leave nothing for retries.
#[test]
fn hedges_leave_half_of_the_budget() {
    let budget = budget::RetryBudget::default();
    let hedges = (0..100).filter(|_| budget.withdraw_hedge()).count();
    let retries = (0..100).filter(|_| budget.withdraw()).count();

    assert_eq!((hedges, retries), (50, 50));
}

/// Guards against callers that failed together and return together.
#[test]
fn delays_are_spread_and_bounded() {
    let mut rng = rngs::StdRng::seed_from_u64(3);
    let mut delays: Vec<_> = (0..100).map(|_| backoff::delay(3, &mut rng).0).collect();
    let late = (0..100).map(|_| backoff::delay(1000, &mut rng).0).max();

    delays.sort_unstable();
    delays.dedup();

    assert!(delays.len() > 30, "{} distinct delays", delays.len());
    assert!(late <= Some(640));
}

/// Guards against repeating a long answer that arrives at its normal pace.
#[test]
fn a_hedge_needs_a_call_that_is_in_danger() {
    let settings = settings::ScoreSettings::default();
    let left = clock::Millis(4000);
    let on_pace = hedge::expected_remaining(3000.0, 0.8, 2500.0);
    let stuck = hedge::expected_remaining(3000.0, 0.0, 2500.0);
    let worthwhile =
        |rest, second: router::Choice| hedge::is_worthwhile(&settings, rest, left, &second);

    assert!(!worthwhile(on_pace, second(600.0, 50.0)));
    assert!(worthwhile(stuck, second(1500.0, 50.0)));
    assert!(
        !worthwhile(stuck, second(1500.0, 5000.0)),
        "dearer than a miss"
    );
    assert!(
        !worthwhile(stuck, second(3000.0, 50.0)),
        "slower than the first"
    );
}
