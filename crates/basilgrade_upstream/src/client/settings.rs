//! Settings of the HTTP client.

use basilgrade_types::clock;
use basilgrade_types::size;

/// Limits on sizes, times and connections of the HTTP client.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Settings {
    /// Maximum size of the body of a response, except for an exported KV cache.
    pub max_body: size::ByteCount,
    /// Maximum size of the exported KV cache of one prefix.
    pub max_kv: size::ByteCount,
    /// Time limit to establish a connection; the time left of the call also applies.
    pub connect_timeout: clock::Millis,
    /// Time limit of load reports, cache events, orders and cancellations.
    pub control_timeout: clock::Millis,
    /// Time limit of an export or import of a KV cache.
    pub transfer_timeout: clock::Millis,
    /// Time after which an idle connection is not reused.
    pub idle_timeout: clock::Millis,
    /// Maximum number of idle connections per upstream.
    pub max_idle: usize,
    /// Maximum number of concurrent cancellations that were started by dropped calls.
    pub max_cancels: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            max_body: size::ByteCount(8 << 20),
            max_kv: size::ByteCount(256 << 20),
            // The kernel repeats a lost connection attempt after 1 s. A limit above 1 s tolerates
            // one lost packet.
            connect_timeout: clock::Millis(1500),
            control_timeout: clock::Millis(2000),
            transfer_timeout: clock::Millis(10_000),
            // Common servers close idle connections after 5 s. A shorter limit makes it unlikely
            // that a call uses a connection that the server is closing.
            idle_timeout: clock::Millis(4000),
            max_idle: 32,
            max_cancels: 256,
        }
    }
}
