//! Traffic counters of a daemon and percentiles of measured times.

/// Membership traffic of one daemon.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Traffic {
    /// Encoded bytes of the messages, sent and received.
    pub(crate) bytes: u64,
    /// Messages, sent and received.
    pub(crate) messages: u64,
    /// Bytes of pulled records and of pull requests, sent and received.
    pub(crate) pulled: u64,
}

/// Framing bytes per message, calculated and not measured: frame length 4, counter 8,
/// HMAC-SHA-256 32, RPC envelope 10, IPv4 and TCP headers 40.
///
/// This is an upper bound: frames between daemons contain no counter and only 16 bytes of the HMAC.
pub(crate) const WIRE_OVERHEAD_BYTES: u64 = 94;

impl Traffic {
    /// Bytes including the framing of each message.
    pub(crate) fn on_wire(&self) -> u64 {
        self.bytes + self.pulled + self.messages * WIRE_OVERHEAD_BYTES
    }
}

/// Percentiles of a set of times in milliseconds.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LatencyStats {
    pub(crate) median: u64,
    pub(crate) p99: u64,
    pub(crate) max: u64,
}

impl LatencyStats {
    /// The median, the 99th percentile and the maximum.
    pub(crate) fn of(mut times: Vec<u64>) -> Self {
        times.sort_unstable();
        let at = |quantile: f64| {
            let index = (times.len() as f64 * quantile).ceil() as usize;
            times
                .get(index.saturating_sub(1))
                .copied()
                .unwrap_or(u64::MAX)
        };
        Self {
            median: at(0.5),
            p99: at(0.99),
            max: at(1.0),
        }
    }
}
