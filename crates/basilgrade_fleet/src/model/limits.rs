//! Limits on connections and requests of callers.

use basilgrade_types::clock;
use basilgrade_types::size;

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Maximum size of a request head.
    pub max_head: size::ByteCount,
    /// Maximum size of a request body.
    pub max_body: size::ByteCount,
    /// Maximum time between the first and the last byte of a request head.
    pub header_timeout: clock::Millis,
    /// Maximum time that a connection may be idle.
    pub idle_timeout: clock::Millis,
}

impl Default for Limits {
    /// Limits used until a configuration is loaded; no request is served under them.
    fn default() -> Self {
        Self {
            max_head: size::ByteCount(16 << 10),
            max_body: size::ByteCount(4 << 20),
            header_timeout: clock::Millis(3000),
            idle_timeout: clock::Millis(15_000),
        }
    }
}
