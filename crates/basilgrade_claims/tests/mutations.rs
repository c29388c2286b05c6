//! Mutation tests: simulations with one safety mechanism disabled, each of which has to produce a
//! violation that the mechanism prevents.

mod sim;

use basilgrade_claims::safety::SafetyChecks;
use sim::plan::Plan;

/// Returns the first seed whose simulation violates a predicate with these mechanisms, and the
/// predicate.
fn first_violation(safety: SafetyChecks, seeds: std::ops::Range<u64>) -> Option<(u64, String)> {
    seeds.into_iter().find_map(|seed| {
        let plan = Plan::random(seed, 1 + seed as usize % 2, 4);
        let simulation = sim::run(&plan, safety);
        let (_, violation) = simulation.history.violation()?;
        Some((seed, violation))
    })
}

/// Shows that the wait for the backup is needed: without it, a granted claim is lost when the
/// primary dies.
#[test]
fn violation_occurs_without_backup_acknowledgement() {
    let safety = SafetyChecks {
        backup_acknowledgement: false,
        ..SafetyChecks::default()
    };

    let violation = first_violation(safety, 0..10);

    assert!(violation.is_some());
}

/// Shows that a release must match the attempt that holds the claim: otherwise a late release frees
/// a key that was granted to another attempt since.
#[test]
fn violation_occurs_without_attempt_match() {
    let safety = SafetyChecks {
        attempt_match: false,
        ..SafetyChecks::default()
    };

    let violation = first_violation(safety, 15..25);

    assert!(violation.is_some());
}

/// Shows that messages of replaced pairs must be refused: otherwise a former primary grants claims
/// with the acknowledgements of its former backup.
#[test]
fn violation_occurs_without_pair_check() {
    let safety = SafetyChecks {
        pair_check: false,
        ..SafetyChecks::default()
    };

    let violation = first_violation(safety, 120..130);

    assert!(violation.is_some());
}

/// Shows that keys at or above the ceiling must be refused: a later pair without the earlier claims
/// would grant them again.
#[test]
fn violation_occurs_without_ceiling_check() {
    let safety = SafetyChecks {
        ceiling_check: false,
        ..SafetyChecks::default()
    };

    let violation = first_violation(safety, 0..10);

    assert!(violation.is_some());
}

/// Shows that keys below the floor must be refused: their claims may have been evicted or lost.
#[test]
fn violation_occurs_without_floor_check() {
    let safety = SafetyChecks {
        floor_check: false,
        ..SafetyChecks::default()
    };

    let violation = first_violation(safety, 0..10);

    assert!(violation.is_some());
}

/// Shows that a new backup must not take over with the history kept before it has received all
/// claims.
#[test]
fn violation_occurs_without_transfer_first() {
    let safety = SafetyChecks {
        transfer_first: false,
        ..SafetyChecks::default()
    };

    let violation = first_violation(safety, 440..445);

    assert!(violation.is_some());
}
