//! Kinds of requests, by whether a retry may run them twice.

use std::fmt;

/// Kind of the requests of a route.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestKind {
    /// May run any number of times.
    Idempotent,
    /// Must run at most once.
    Once,
    /// An event stream that must run at most once.
    Stream,
    /// An event stream that another upstream can resume after the last event received.
    ResumableStream,
}

impl RequestKind {
    /// Whether a request may be sent again even if an earlier attempt may have run.
    pub const fn is_repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }

    /// Whether the response is an event stream that another upstream can resume.
    pub const fn is_resumable(self) -> bool {
        matches!(self, Self::ResumableStream)
    }

    /// Whether the response is an event stream.
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
