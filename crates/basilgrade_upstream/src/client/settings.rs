//! Limits of the HTTP client.

use basilgrade_types::clock;
use basilgrade_types::size;

/// Limits of the HTTP client.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Settings {
    /// Largest body of a stage or service answer.
    pub max_body: size::ByteCount,
    /// Largest exported KV cache of one prefix.
    pub max_kv: size::ByteCount,
    /// Time to establish a connection; shorter when the call has less time left.
    pub connect_timeout: clock::Millis,
    /// Time allowed to load reports, cache events, orders and cancellations.
    pub control_timeout: clock::Millis,
    /// Time allowed to an export or import of KV cache.
    pub transfer_timeout: clock::Millis,
    /// Idle connections are not used after this time.
    pub idle_timeout: clock::Millis,
    /// Idle connections kept for each upstream.
    pub max_idle: usize,
    /// Cancellations in flight that were started by dropped calls.
    pub max_cancels: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            max_body: size::ByteCount(8 << 20),
            max_kv: size::ByteCount(256 << 20),
            // The kernel repeats a lost connection attempt after 1 s; a limit above that lets one
            // lost packet pass.
            connect_timeout: clock::Millis(1500),
            control_timeout: clock::Millis(2000),
            transfer_timeout: clock::Millis(10_000),
            // Common servers close idle connections after 5 s; a shorter time here makes it
            // unlikely that a call meets a closing connection.
            idle_timeout: clock::Millis(4000),
            max_idle: 32,
            max_cancels: 256,
        }
    }
}
