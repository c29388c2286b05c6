//! Limits on what one daemon accepts from callers.

use basilgrade_types::clock;
use basilgrade_types::size;

/// Limits towards callers, from the process settings.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Most bytes of request head.
    pub head: size::ByteCount,
    /// Most bytes of request body.
    pub body: size::ByteCount,
    /// Most requests worked on at once.
    pub requests: usize,
    /// Time for a head or a body to arrive.
    pub sender: clock::Millis,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            head: size::ByteCount(16 << 10),
            body: size::ByteCount(1 << 20),
            requests: 4096,
            sender: clock::Millis::from_secs(10),
        }
    }
}
