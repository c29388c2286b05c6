//! Announcements of upstreams about the requests that they take.

use basilgrade_fleet::notices;
use basilgrade_types::clock;

const START: clock::Millis = clock::Millis(100_000);

fn at(ms: u64) -> clock::Millis {
    START.plus(clock::Millis(ms))
}

/// Guards against a pause that a later answer shortens, and against one that does not end.
#[test]
fn latest_end_of_a_pause_counts() {
    let notices = notices::Notices::default();

    assert!(notices.record_pause(START, at(3000)));
    assert!(!notices.record_pause(at(100), at(1100)));

    assert!(!notices.is_open(at(2999)));
    assert!(notices.is_open(at(3000)));
    assert!(notices.record_pause(at(3000), at(3500)));
}
