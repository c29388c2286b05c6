//! Observed state of one upstream.

use std::sync::atomic;

use basilgrade_types::clock;
use basilgrade_types::id;

use crate::view::gauge;

/// How much one observation moves an average.
const AVERAGE_SHARE: f32 = 0.1;

/// Counters of one upstream, shared by all requests; they outlive changes of configuration.
#[derive(Debug)]
pub struct Stats {
    /// Calls of this daemon in flight.
    pub inflight: atomic::AtomicU32,
    /// Calls running as last reported.
    pub running: atomic::AtomicU32,
    /// Calls waiting as last reported.
    pub queued: atomic::AtomicU32,
    /// Calls in flight that were sent since the last report.
    pub sent: atomic::AtomicU32,
    /// When the last report was made.
    pub reported: atomic::AtomicU64,
    /// Models loaded as last reported.
    pub models: arc_swap::ArcSwap<Vec<id::ModelId>>,
    /// Instant until which the upstream counts as leaving; 0 when it is not.
    pub leaving: atomic::AtomicU64,
    /// Time of a call without tokens, in milliseconds.
    pub service: gauge::Gauge,
    /// Time per generated token, in milliseconds.
    pub decode: gauge::Gauge,
}

impl Default for Stats {
    fn default() -> Self {
        Self {
            inflight: atomic::AtomicU32::default(),
            running: atomic::AtomicU32::default(),
            queued: atomic::AtomicU32::default(),
            sent: atomic::AtomicU32::default(),
            reported: atomic::AtomicU64::default(),
            models: arc_swap::ArcSwap::default(),
            leaving: atomic::AtomicU64::default(),
            service: gauge::Gauge::new(20.0),
            decode: gauge::Gauge::new(10.0),
        }
    }
}

impl Stats {
    /// Records a finished call that took `spent` and generated `tokens`.
    pub fn observe(&self, spent: clock::Millis, tokens: u64) {
        if tokens == 0 {
            self.service.average(spent.as_f64() as f32, AVERAGE_SHARE);
        } else {
            let sample = spent.as_f64() as f32 / tokens as f32;
            self.decode.average(sample, AVERAGE_SHARE);
        }
    }

    /// Notes that the upstream said it is leaving.
    pub fn mark_leaving(&self, until: clock::Millis) {
        self.leaving.fetch_max(until.0, atomic::Ordering::Relaxed);
    }

    /// Whether the upstream counts as leaving at `now`.
    pub fn is_leaving(&self, now: clock::Millis) -> bool {
        self.leaving.load(atomic::Ordering::Relaxed) > now.0
    }
}
