//! Counting of calls in flight.

use std::sync;
use std::sync::atomic;

use basilgrade_types::clock;

use crate::view::entry;

/// Counts one call in flight until it is dropped, whatever way the call ends, and then lets the
/// next waiting request choose.
pub struct Inflight<'a> {
    entry: &'a entry::Entry,
    clock: sync::Arc<dyn clock::Clock>,
}

impl<'a> Inflight<'a> {
    /// Counts a call to the upstream `entry`.
    pub fn start(entry: &'a entry::Entry, clock: &sync::Arc<dyn clock::Clock>) -> Self {
        let stats = &entry.stats;
        stats.inflight.fetch_add(1, atomic::Ordering::Relaxed);
        stats.sent.fetch_add(1, atomic::Ordering::Relaxed);
        Self {
            entry,
            clock: sync::Arc::clone(clock),
        }
    }
}

impl Drop for Inflight<'_> {
    fn drop(&mut self) {
        let stats = &self.entry.stats;
        stats.inflight.fetch_sub(1, atomic::Ordering::Relaxed);
        // A report may have reset the counter since the call was sent.
        let lower = |sent: u32| sent.checked_sub(1);
        let relaxed = atomic::Ordering::Relaxed;
        let _ = stats.sent.fetch_update(relaxed, relaxed, lower);
        self.entry.peers.wake(self.clock.now());
    }
}
