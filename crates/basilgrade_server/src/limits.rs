//! Limits on requests from callers.

use basilgrade_types::clock;
use basilgrade_types::size;

/// Limits on requests from callers, taken from the process settings.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Maximum size of a request head.
    pub head_bytes: size::ByteCount,
    /// Maximum size of a request body.
    pub body_bytes: size::ByteCount,
    /// Maximum number of requests in progress.
    pub max_requests: usize,
    /// Time limit for a request head or body to arrive.
    pub sender_timeout: clock::Millis,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            head_bytes: size::ByteCount(16 << 10),
            body_bytes: size::ByteCount(1 << 20),
            max_requests: 4096,
            sender_timeout: clock::Millis::from_secs(10),
        }
    }
}
