//! Limits on what callers send.

use basilgrade_types::clock;
use basilgrade_types::size;

/// Limits on a caller's connection and requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Longest head.
    pub max_head: size::ByteCount,
    /// Longest body.
    pub max_body: size::ByteCount,
    /// Longest time between the first and the last byte of a head.
    pub header_timeout: clock::Millis,
    /// Longest time that a connection may be idle.
    pub idle_timeout: clock::Millis,
}

impl Default for Limits {
    /// Figures for the time before a configuration is known; nothing is served with them.
    fn default() -> Self {
        Self {
            max_head: size::ByteCount(16 << 10),
            max_body: size::ByteCount(4 << 20),
            header_timeout: clock::Millis(3000),
            idle_timeout: clock::Millis(15_000),
        }
    }
}
