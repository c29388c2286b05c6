//! Runs with one mechanism disabled; each has to produce a violation that the mechanism prevents.

mod sim;

use basilgrade_claims::safety::SafetyChecks;
use sim::plan::Plan;

/// The first seed and what was violated when the mechanism is off.
fn first_violation(safety: SafetyChecks, seeds: std::ops::Range<u64>) -> Option<(u64, String)> {
    seeds.into_iter().find_map(|seed| {
        let plan = Plan::random(seed, 1 + seed as usize % 2, 4);
        let world = sim::run(&plan, safety);
        let (_, what) = world.history.violation()?;
        Some((seed, what))
    })
}

/// Guards against granting before the backup has the claim: it is lost with the primary.
#[test]
fn grant_without_acknowledgement_runs_twice() {
    let safety = SafetyChecks {
        backup_acknowledgement: false,
        ..SafetyChecks::default()
    };

    let violation = first_violation(safety, 0..10);

    assert!(violation.is_some());
}

/// Guards against releases that free a key for which another attempt was granted since.
#[test]
fn release_by_another_attempt_runs_twice() {
    let safety = SafetyChecks {
        attempt_match: false,
        ..SafetyChecks::default()
    };

    let violation = first_violation(safety, 15..25);

    assert!(violation.is_some());
}

/// Guards against an old primary that grants with acknowledgements of a pair that was replaced.
#[test]
fn replication_across_pairs_runs_twice() {
    let safety = SafetyChecks {
        pair_check: false,
        ..SafetyChecks::default()
    };

    let violation = first_violation(safety, 120..130);

    assert!(violation.is_some());
}

/// Guards against granting keys that a pair without the history would also grant.
#[test]
fn keys_beyond_the_ceiling_run_twice() {
    let safety = SafetyChecks {
        ceiling_check: false,
        ..SafetyChecks::default()
    };

    let violation = first_violation(safety, 0..10);

    assert!(violation.is_some());
}

/// Guards against granting keys whose claims were evicted or lost.
#[test]
fn keys_below_the_floor_run_twice() {
    let safety = SafetyChecks {
        floor_check: false,
        ..SafetyChecks::default()
    };

    let violation = first_violation(safety, 0..10);

    assert!(violation.is_some());
}

/// Guards against a backup without all claims continuing as if it had the history.
#[test]
fn takeover_before_the_transfer_ends_runs_twice() {
    let safety = SafetyChecks {
        transfer_first: false,
        ..SafetyChecks::default()
    };

    let violation = first_violation(safety, 440..445);

    assert!(violation.is_some());
}
