//! Tests of the detection of store outages.

use basilgrade_fleet::outage;
use basilgrade_types::clock;

const HEARTBEAT: clock::Millis = clock::Millis(1200);

fn at(ms: u64) -> clock::Millis {
    clock::Millis(ms)
}

/// Detector of a daemon that the store answered at 0 ms, not at 1000 ms, and again at `end`.
fn detector_after_outage(end: u64) -> outage::OutageDetector {
    let mut detector = outage::OutageDetector::new(HEARTBEAT);
    detector.record_read(at(0));
    detector.record_failure();
    detector.record_read(at(end));
    detector
}

/// Guards against an upstream that gets requests until the next regular read although the time to
/// register again has passed.
#[test]
fn registrations_are_read_when_the_doubt_ends() {
    let detector = detector_after_outage(5000);
    let interval = at(1000);

    assert_eq!(detector.read_pause(at(5000), interval), interval);
    assert_eq!(detector.read_pause(at(7000), interval), at(200));
    assert!(!detector.is_doubtful(at(7200)));
    assert_eq!(detector.read_pause(at(7200), interval), interval);
}
