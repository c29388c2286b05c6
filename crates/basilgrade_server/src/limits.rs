//! Limits on what one daemon accepts from callers.

use basilgrade_types::clock;
use basilgrade_types::size;

/// Limits towards callers, from the process settings.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Most bytes of request head.
    pub head_bytes: size::ByteCount,
    /// Most bytes of request body.
    pub body_bytes: size::ByteCount,
    /// Most requests worked on at once.
    pub max_requests: usize,
    /// Time for a head or a body to arrive.
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
