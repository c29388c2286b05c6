//! What may be repeated on a route.

use std::fmt;

/// Kind of the requests of a route.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestKind {
    /// May run any number of times.
    Idempotent,
    /// May run once at most.
    Once,
    /// A stream of events that runs once at most.
    Stream,
    /// A stream of events that can be continued elsewhere after the last event received.
    ResumableStream,
}

impl RequestKind {
    /// Whether a request may be sent again although an earlier send may have run.
    pub const fn is_repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }

    /// Whether the answer is a stream of events.
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }
}

impl fmt::Display for RequestKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Idempotent => "idempotent",
            Self::Once => "once",
            Self::Stream => "stream",
            Self::ResumableStream => "resumable-stream",
        })
    }
}
