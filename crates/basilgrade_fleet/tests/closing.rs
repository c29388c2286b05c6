//! Requests that arrive while their daemon shuts down.

use basilgrade_fleet::closing;
use basilgrade_fleet::model::request_kind;
use basilgrade_fleet::pace;
use basilgrade_types::clock;

/// A request with a deadline of 20 s at a daemon that closes in 4 s.
fn arrival(kind: request_kind::RequestKind, needed: Option<clock::Millis>) -> closing::Arrival {
    closing::Arrival {
        kind,
        until_deadline: clock::Millis(20_000),
        until_close: clock::Millis(4000),
        needed,
    }
}

/// Guards against requests that are cut off at the end of a shutdown although that was foreseeable.
#[test]
fn request_that_outlasts_the_shutdown_is_refused() {
    let stream = request_kind::RequestKind::Stream;
    let resumable = request_kind::RequestKind::ResumableStream;

    assert!(!closing::can_end(&arrival(
        stream,
        Some(clock::Millis(4001))
    )));
    assert!(!closing::can_end(&arrival(
        resumable,
        Some(clock::Millis(4001))
    )));
    assert!(!closing::can_end(&arrival(stream, None)));
}

/// Guards against refusals of requests that would have ended in time.
#[test]
fn request_that_ends_before_the_shutdown_is_served() {
    let once = request_kind::RequestKind::Once;
    let resumable = request_kind::RequestKind::ResumableStream;
    let within_deadline = closing::Arrival {
        until_deadline: clock::Millis(4000),
        ..arrival(once, None)
    };

    assert!(closing::can_end(&arrival(once, Some(clock::Millis(4000)))));
    assert!(closing::can_end(&arrival(resumable, None)));
    assert!(closing::can_end(&within_deadline));
}

/// Guards against an estimate from fast streams that hides how long a slow one takes.
#[test]
fn pace_follows_the_slowest_streams() {
    let mut pace = pace::TokenPace::default();
    assert_eq!(pace.span(100), None);

    pace.record(100, clock::Millis(1000));
    pace.record(100, clock::Millis(3000));
    pace.record(0, clock::Millis(9000));
    let slow = pace.span(200);
    for _ in 0..200 {
        pace.record(100, clock::Millis(1000));
    }

    assert_eq!(slow, Some(clock::Millis(6000)));
    let later = pace.span(200).expect("streams were recorded");
    assert!(
        later < clock::Millis(2010) && later >= clock::Millis(2000),
        "{later}"
    );
}
