//! Tests of retries and hedges.

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

fn hedge_choice(finish_ms: f32, cost: f32) -> router::Choice {
    router::Choice {
        index: 1,
        finish_ms,
        cost,
        reason: "score",
    }
}

/// A non-idempotent call must not run twice.
#[test]
fn call_that_may_have_run_is_repeated_only_if_safe() {
    let (non_idempotent, idempotent) = (
        stage::Idempotency::NonIdempotent,
        stage::Idempotency::Idempotent,
    );
    let allowed =
        |verdict| retry_rules::may_retry(verdict, non_idempotent, pool::RequestKeys::Ignored);

    assert!(allowed(verdict::Verdict::NotRun));
    assert!(!allowed(verdict::Verdict::MayHaveRun));
    assert!(!allowed(verdict::Verdict::Ran));
    let may_have_run = verdict::Verdict::MayHaveRun;
    assert!(retry_rules::may_retry(
        may_have_run,
        idempotent,
        pool::RequestKeys::Ignored
    ));
    assert!(retry_rules::may_retry(
        may_have_run,
        non_idempotent,
        pool::RequestKeys::Honoured
    ));
    assert!(!retry_rules::may_hedge(non_idempotent));
    assert!(retry_rules::may_hedge(idempotent));
}

/// Retries must not multiply the load of an overloaded pool.
#[test]
fn retries_are_limited_to_a_tenth_of_the_calls() {
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

/// Hedges must not use up the budget that retries need.
#[test]
fn hedges_leave_half_of_the_retry_budget() {
    let budget = budget::RetryBudget::default();
    let hedges = (0..100).filter(|_| budget.withdraw_hedge()).count();
    let retries = (0..100).filter(|_| budget.withdraw()).count();

    assert_eq!((hedges, retries), (50, 50));
}

/// Clients whose calls failed together must not retry at the same instant.
#[test]
fn backoff_delays_are_spread_and_bounded() {
    let mut rng = rngs::StdRng::seed_from_u64(3);
    let mut delays: Vec<_> = (0..100).map(|_| backoff::delay(3, &mut rng).0).collect();
    let longest = (0..100).map(|_| backoff::delay(1000, &mut rng).0).max();

    delays.sort_unstable();
    delays.dedup();

    assert!(delays.len() > 30, "only {} distinct delays", delays.len());
    assert!(longest <= Some(640));
}

/// A long answer that arrives at its normal pace must not be duplicated by a hedge.
#[test]
fn hedge_is_sent_only_for_late_call_and_at_acceptable_cost() {
    let settings = settings::ScoreSettings::default();
    let left = clock::Millis(4000);
    let on_pace = hedge::expected_remaining(3000.0, 0.8, 2500.0);
    let stuck = hedge::expected_remaining(3000.0, 0.0, 2500.0);
    let worthwhile =
        |rest, hedge: router::Choice| hedge::is_worthwhile(&settings, rest, left, &hedge);

    assert!(!worthwhile(on_pace, hedge_choice(600.0, 50.0)));
    assert!(worthwhile(stuck, hedge_choice(1500.0, 50.0)));
    assert!(
        !worthwhile(stuck, hedge_choice(1500.0, 5000.0)),
        "the hedge costs more than a missed deadline"
    );
    assert!(
        !worthwhile(stuck, hedge_choice(3000.0, 50.0)),
        "the hedge finishes later than the first call"
    );
}
