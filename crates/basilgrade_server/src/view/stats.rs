//! Observed state of one upstream.

use std::sync::atomic;

use basilgrade_policy::health::connection;
use basilgrade_policy::speed;
use basilgrade_types::clock;
use basilgrade_types::id;

/// Counters of one upstream, shared by all requests; they outlive changes of the configuration.
#[derive(Debug, Default)]
pub struct Stats {
    /// Calls of this daemon in flight.
    pub inflight: atomic::AtomicU32,
    /// Running calls in the last load report.
    pub running: atomic::AtomicU32,
    /// Queued calls in the last load report.
    pub queued: atomic::AtomicU32,
    /// Calls of this daemon in flight that were sent after the last load report.
    pub sent: atomic::AtomicU32,
    /// Instant of the last load report, in milliseconds; 0 before the first one.
    pub reported_at: atomic::AtomicU64,
    /// Models that the last load report names as loaded.
    pub models: arc_swap::ArcSwap<Vec<id::ModelId>>,
    /// Instant, in milliseconds, until which the upstream counts as leaving on notice from the
    /// upstream itself or the VM list.
    pub leaving_until: atomic::AtomicU64,
    /// Instant, in milliseconds, until which the upstream counts as leaving on notice from another
    /// daemon.
    pub peer_leaving: atomic::AtomicU64,
    /// Speed of the upstream relative to its pool.
    pub speed: speed::Slowdown,
    /// Whether the upstream accepts connections.
    pub connection: connection::ConnectionHealth,
}

impl Stats {
    /// Marks the upstream as leaving on notice from the upstream itself or the VM list.
    pub fn mark_leaving(&self, until: clock::Millis) {
        self.leaving_until
            .fetch_max(until.0, atomic::Ordering::Relaxed);
    }

    /// Marks the upstream as leaving on notice from another daemon.
    pub fn mark_leaving_from_peer(&self, until: clock::Millis) {
        self.peer_leaving
            .fetch_max(until.0, atomic::Ordering::Relaxed);
    }

    /// Whether the upstream counts as leaving by what this daemon observed itself. Only such
    /// observations are passed on; otherwise daemons would keep repeating each other's notices.
    pub fn is_locally_leaving(&self, now: clock::Millis) -> bool {
        self.leaving_until.load(atomic::Ordering::Relaxed) > now.0
    }

    /// Whether the upstream counts as leaving at `now`.
    pub fn is_leaving(&self, now: clock::Millis) -> bool {
        self.is_locally_leaving(now) || self.peer_leaving.load(atomic::Ordering::Relaxed) > now.0
    }
}
