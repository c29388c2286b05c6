//! Guard that counts calls in flight.

use std::sync::atomic;

use crate::view::stats;

/// Counts one call in flight while it exists, however the call ends.
pub struct InflightCall<'a> {
    stats: &'a stats::Stats,
}

impl<'a> InflightCall<'a> {
    /// Counts a call to the upstream that `stats` belongs to.
    pub fn start(stats: &'a stats::Stats) -> Self {
        stats.inflight.fetch_add(1, atomic::Ordering::Relaxed);
        stats.sent.fetch_add(1, atomic::Ordering::Relaxed);
        Self { stats }
    }
}

impl Drop for InflightCall<'_> {
    fn drop(&mut self) {
        self.stats.inflight.fetch_sub(1, atomic::Ordering::Relaxed);
        // A load report may have reset the counter since the call was sent, so stop at 0.
        let lower = |sent: u32| sent.checked_sub(1);
        let relaxed = atomic::Ordering::Relaxed;
        let _ = self.stats.sent.fetch_update(relaxed, relaxed, lower);
    }
}
