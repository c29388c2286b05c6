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
fn registrations_are_read_when_uncertainty_ends() {
    let detector = detector_after_outage(5000);
    let interval = at(1000);

    assert_eq!(detector.read_pause(at(5000), interval), interval);
    assert_eq!(detector.read_pause(at(7000), interval), at(200));
    assert!(!detector.is_uncertain(at(7200)));
    assert_eq!(detector.read_pause(at(7200), interval), interval);
}

/// Guards against live upstreams that are removed because their registrations lapsed while the
/// store was away.
#[test]
fn outage_that_lets_registrations_lapse_is_uncertain() {
    let mut during = outage::OutageDetector::new(HEARTBEAT);
    during.record_read(at(0));
    during.record_failure();
    let after = detector_after_outage(2400);

    assert!(during.is_uncertain(at(2400)));
    assert!(after.is_uncertain(at(2400)) && after.is_uncertain(at(4599)));
    assert!(!after.is_uncertain(at(4600)));
}

/// Guards against requests to a deregistered upstream because one call to the store failed.
#[test]
fn short_failure_is_not_uncertain() {
    let mut during = outage::OutageDetector::new(HEARTBEAT);
    during.record_read(at(0));
    during.record_failure();
    let after = detector_after_outage(2300);

    assert!(!during.is_uncertain(at(2300)));
    assert!(!after.is_uncertain(at(2300)));
}
