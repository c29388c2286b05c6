//! Observed state of one upstream.

use std::sync::atomic;

use basilgrade_policy::health::connection;
use basilgrade_policy::speed;
use basilgrade_types::clock;
use basilgrade_types::id;

/// Counters of one upstream, shared by all requests; they outlive changes of configuration.
#[derive(Debug, Default)]
pub struct Stats {
    /// Calls of this daemon in flight.
    pub inflight: atomic::AtomicU32,
    /// Calls running as last reported.
    pub running: atomic::AtomicU32,
    /// Calls waiting as last reported.
    pub queued: atomic::AtomicU32,
    /// Calls in flight that were sent since the last report.
    pub sent: atomic::AtomicU32,
    /// When the last report was made; 0 before the first.
    pub reported_at: atomic::AtomicU64,
    /// Models loaded as last reported.
    pub models: arc_swap::ArcSwap<Vec<id::ModelId>>,
    /// Instant until which the upstream counts as leaving by what it or the VM list said.
    pub leaving_until: atomic::AtomicU64,
    /// Instant until which it counts as leaving by what other daemons said.
    pub peer_leaving: atomic::AtomicU64,
    /// Speed relative to the rest of its pool.
    pub speed: speed::Slowdown,
    /// Whether it accepts connections.
    pub connection: connection::ConnectionHealth,
}

impl Stats {
    /// Notes that the upstream is leaving.
    pub fn mark_leaving(&self, until: clock::Millis) {
        self.leaving_until
            .fetch_max(until.0, atomic::Ordering::Relaxed);
    }

    /// Notes that another daemon saw the upstream leaving.
    pub fn mark_leaving_from_peer(&self, until: clock::Millis) {
        self.peer_leaving
            .fetch_max(until.0, atomic::Ordering::Relaxed);
    }

    /// Whether the upstream counts as leaving by a sign that this daemon saw itself; only such
    /// signs are passed on, as daemons would else keep them alive among themselves.
    pub fn is_locally_leaving(&self, now: clock::Millis) -> bool {
        self.leaving_until.load(atomic::Ordering::Relaxed) > now.0
    }

    /// Whether the upstream counts as leaving at `now`.
    pub fn is_leaving(&self, now: clock::Millis) -> bool {
        self.is_locally_leaving(now) || self.peer_leaving.load(atomic::Ordering::Relaxed) > now.0
    }
}
