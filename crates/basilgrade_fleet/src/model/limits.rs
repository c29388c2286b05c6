//! Limits on what callers send.

use basilgrade_types::clock;
use basilgrade_types::size;

/// Limits on a caller's connection and requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Longest head.
    pub head: size::ByteCount,
    /// Longest body.
    pub body: size::ByteCount,
    /// Longest time between the first and the last byte of a head.
    pub header: clock::Millis,
    /// Longest time that a connection may be idle.
    pub idle: clock::Millis,
}

impl Default for Limits {
    /// Figures for the time before a configuration is known; nothing is served with them.
    fn default() -> Self {
        Self {
            head: size::ByteCount(16 << 10),
            body: size::ByteCount(4 << 20),
            header: clock::Millis(3000),
            idle: clock::Millis(15_000),
        }
    }
}
