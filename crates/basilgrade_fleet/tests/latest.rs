//! Tests of the order of registrations of one upstream.

mod common;

use basilgrade_fleet::directory::latest;
use basilgrade_fleet::directory::upstream;
use basilgrade_types::clock;

const START: clock::Millis = clock::Millis(1_000_000);

/// Registration of the run that started at `born`, with this number.
fn entry(born: Option<u64>, sequence: Option<u64>) -> upstream::Upstream {
    upstream::Upstream {
        started_at: born.map(clock::Millis),
        sequence,
        ..common::upstream(1, "a")
    }
}

/// Guards against an order by the place in the log, and against one by numbers of different runs.
#[test]
fn older_registrations_are_late() {
    let mut known = latest::Latest::default();
    known.record(START, &entry(Some(500), Some(13)));
    let is_late = |born, sequence| known.is_late(START, &entry(born, sequence));

    assert!(is_late(Some(500), Some(12)));
    assert!(is_late(Some(499), Some(99)));
    assert!(!is_late(Some(500), Some(13)));
    assert!(!is_late(Some(501), Some(1)));
    assert!(!is_late(None, Some(1)));
    assert!(!is_late(Some(500), None));
}

/// Guards against an upstream that stays out of use for good as its clock went back before its
/// restart, or as another writer used its id.
#[test]
fn older_registrations_count_again_after_a_while() {
    let mut known = latest::Latest::default();
    known.record(START, &entry(Some(500), Some(13)));
    let older = entry(Some(400), Some(1));

    assert!(known.is_late(START.plus(clock::Millis(6000)), &older));
    assert!(!known.is_late(START.plus(clock::Millis(7000)), &older));
}
