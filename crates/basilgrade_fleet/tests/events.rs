//! Splitting of byte streams into events.

use basilgrade_fleet::events;
use proptest::prelude::*;

fn event(id: u64) -> String {
    format!("id: {id}\ndata: {}\n\n", "x".repeat(id as usize % 7))
}

fn complete(output: events::Output) -> String {
    match output {
        events::Output::Complete(bytes) => String::from_utf8(bytes).expect("events are UTF-8"),
        other => panic!("expected complete events, got {other:?}"),
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// Guards against bytes that are lost, or events that are cut, at the end of a packet.
    #[test]
    fn events_are_independent_of_packet_sizes(count in 1_u64..12, sizes in prop::collection::vec(1_usize..40, 1..20)) {
        let text: String = (1..=count).map(event).collect();
        let mut events = events::EventSplitter::default();
        let mut out = String::new();
        let mut remaining = text.as_bytes();
        let mut sizes = sizes.into_iter().cycle();
        while !remaining.is_empty() {
            let size = sizes.next().unwrap_or(1).min(remaining.len());
            out.push_str(&complete(events.push(&remaining[..size])));
            remaining = &remaining[size..];
        }
        prop_assert_eq!(out, text);
        prop_assert_eq!(events.last_id(), Some(count));
        prop_assert!(!events.is_partial());
    }
}

/// Guards against an incomplete event that reaches the caller before another upstream resumes the
/// stream.
#[test]
fn incomplete_event_is_not_returned() {
    let mut events = events::EventSplitter::default();

    let out = complete(events.push(b"id: 1\ndata: a\n\nid: 2\nda"));

    assert_eq!(out, "id: 1\ndata: a\n\n");
    assert!(events.is_partial());
}

/// Guards against an event that the caller gets twice because an upstream repeats it when it
/// resumes.
#[test]
fn repeated_events_are_dropped() {
    let mut events = events::EventSplitter::resume_after(Some(4));

    let out = complete(events.push(format!("{}{}", event(4), event(5)).as_bytes()));

    assert_eq!(out, event(5));
}

/// Guards against a gap in the events that a caller receives.
#[test]
fn skipped_event_id_is_out_of_order() {
    let mut events = events::EventSplitter::resume_after(Some(4));

    assert_eq!(events.push(event(6).as_bytes()), events::Output::OutOfOrder);
}

/// Guards against comments and events without an id that stop a stream.
#[test]
fn events_without_id_are_returned() {
    let mut events = events::EventSplitter::default();

    let out = complete(events.push(b": ping\n\ndata: x\r\n\r\n"));

    assert_eq!(out, ": ping\n\ndata: x\r\n\r\n");
    assert_eq!(events.last_id(), None);
}

/// Guards against an event without end that fills the memory.
#[test]
fn event_without_end_is_rejected() {
    let mut splitter = events::EventSplitter::default();
    let chunk = [b'z'; 16 << 10];
    let fitting = events::MAX_EVENT_BYTES / chunk.len();

    let accepted = (0..fitting).all(|_| splitter.push(&chunk) != events::Output::TooLong);

    assert!(accepted);
    assert_eq!(splitter.push(&chunk), events::Output::TooLong);
}
