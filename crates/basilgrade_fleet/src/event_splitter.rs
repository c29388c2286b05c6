//! Splitting a stream into whole events.

use boundary::find_end;

mod boundary;

/// Collects bytes of a stream and hands out whole events.
///
/// An upstream can stop in the middle of an event; the part must not reach a caller, because the
/// stream may go on elsewhere with the same event.
#[derive(Debug, Default)]
pub struct EventSplitter {
    pending: Vec<u8>,
    last: Option<u64>,
}

/// The events that a stream completed.
#[derive(Debug, PartialEq)]
pub enum Output {
    /// Whole events, in order; empty while the next one is incomplete.
    Complete(Vec<u8>),
    /// An event is missing or repeated, so the stream cannot be trusted any more.
    OutOfOrder,
}

impl EventSplitter {
    /// Starts after the event `last`, which the caller already has.
    pub fn resume_after(last: Option<u64>) -> Self {
        Self {
            pending: Vec::new(),
            last,
        }
    }

    /// The id of the last whole event.
    pub fn last_id(&self) -> Option<u64> {
        self.last
    }

    /// Whether bytes of an incomplete event are left.
    pub fn is_partial(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Adds bytes and takes the events that are now complete.
    ///
    /// Events up to the last one are left out: an upstream may repeat it when it continues.
    pub fn push(&mut self, bytes: &[u8]) -> Output {
        self.pending.extend_from_slice(bytes);
        let mut whole = Vec::new();
        let mut start = 0;
        while let Some(length) = find_end(&self.pending[start..]) {
            let event = &self.pending[start..start + length];
            start += length;
            let Some(id) = event_id(event) else {
                whole.extend_from_slice(event);
                continue;
            };
            if self.last.is_some_and(|last| id <= last) {
                continue;
            }
            if self.last.is_some_and(|last| id > last + 1) {
                return Output::OutOfOrder;
            }
            self.last = Some(id);
            whole.extend_from_slice(event);
        }
        self.pending.drain(..start);
        Output::Complete(whole)
    }
}

fn event_id(event: &[u8]) -> Option<u64> {
    let line = event
        .split(|byte| *byte == b'\n')
        .find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(line).ok()?.trim().parse().ok()
}
