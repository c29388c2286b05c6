//! Splits a byte stream of server-sent events into complete events.

use boundary::find_end;

mod boundary;

/// Maximum size of an event; what is longer is no event.
pub const MAX_EVENT_BYTES: usize = 256 << 10;

/// Size of the buffer that is kept for the next event.
const KEPT_BYTES: usize = 16 << 10;

/// Buffers bytes of a stream and returns complete events.
///
/// An upstream can fail in the middle of an event. The incomplete event must not reach the caller,
/// because another upstream may resume the stream with the same event.
#[derive(Debug, Default)]
pub struct EventSplitter {
    pending: Vec<u8>,
    last_id: Option<u64>,
}

/// Result of adding bytes to a stream.
#[derive(Debug, PartialEq)]
pub enum Output {
    /// Complete events in order; empty while the next event is incomplete.
    Complete(Vec<u8>),
    /// An event id was skipped, so at least one event of the stream is lost.
    OutOfOrder,
    /// An event exceeds [`MAX_EVENT_BYTES`] and has no end yet.
    TooLong,
}

impl EventSplitter {
    /// Creates a splitter for a stream that resumes after the event `last_id`, which the caller
    /// has received.
    pub fn resume_after(last_id: Option<u64>) -> Self {
        Self {
            pending: Vec::new(),
            last_id,
        }
    }

    /// Id of the last complete event.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Whether the buffer holds part of an incomplete event.
    pub fn is_partial(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Size of the buffer for an incomplete event.
    pub fn buffer_bytes(&self) -> usize {
        self.pending.capacity()
    }

    /// Adds bytes and returns the events that are now complete.
    ///
    /// Events with an id up to the last one are dropped: an upstream may repeat the last event when
    /// it resumes a stream.
    pub fn push(&mut self, bytes: &[u8]) -> Output {
        self.pending.extend_from_slice(bytes);
        let mut complete = Vec::new();
        let mut start = 0;
        while let Some(length) = find_end(&self.pending[start..]) {
            let event = &self.pending[start..start + length];
            start += length;
            let Some(id) = parse_id(event) else {
                complete.extend_from_slice(event);
                continue;
            };
            if self.last_id.is_some_and(|last_id| id <= last_id) {
                continue;
            }
            if self.last_id.is_some_and(|last_id| id > last_id + 1) {
                return Output::OutOfOrder;
            }
            self.last_id = Some(id);
            complete.extend_from_slice(event);
        }
        self.pending.drain(..start);
        if start > 0 && self.pending.capacity() > KEPT_BYTES {
            self.pending.shrink_to(KEPT_BYTES);
        }
        if self.pending.len() > MAX_EVENT_BYTES {
            return Output::TooLong;
        }
        Output::Complete(complete)
    }
}

fn parse_id(event: &[u8]) -> Option<u64> {
    let line = event
        .split(|byte| *byte == b'\n')
        .find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(line).ok()?.trim().parse().ok()
}
