//! Limits of the HTTP client.

use basilgrade_types::clock;
use basilgrade_types::size;

/// Limits of the HTTP client.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Settings {
    /// Largest body of a stage or service answer.
    pub body: size::ByteCount,
    /// Largest exported KV cache of one prefix.
    pub kv: size::ByteCount,
    /// Time to establish a connection; shorter when the call has less time left.
    pub connect: clock::Millis,
    /// Time allowed to load reports, cache events, orders and cancellations.
    pub control: clock::Millis,
    /// Time allowed to an export or import of KV cache.
    pub transfer: clock::Millis,
    /// Idle connections are not used after this time.
    pub idle: clock::Millis,
    /// Idle connections kept for each upstream.
    pub connections: usize,
    /// Cancellations in flight that were started by dropped calls.
    pub cancels: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            body: size::ByteCount(8 << 20),
            kv: size::ByteCount(256 << 20),
            // The kernel repeats a lost connection attempt after 1 s; a limit above that lets one
            // lost packet pass.
            connect: clock::Millis(1500),
            control: clock::Millis(2000),
            transfer: clock::Millis(10_000),
            // Common servers close idle connections after 5 s; a shorter time here makes it
            // unlikely that a call meets a closing connection.
            idle: clock::Millis(4000),
            connections: 32,
            cancels: 256,
        }
    }
}
