//! What an upstream announces in its answers about the requests that it takes.

use std::sync;
use std::sync::atomic;

use basilgrade_types::clock;

use crate::brittleness;

/// Announcements of one run of an upstream, which end with that run.
#[derive(Debug, Default)]
pub struct Notices {
    is_leaving: atomic::AtomicBool,
    paused_until: atomic::AtomicU64,
    brittleness: sync::Mutex<brittleness::Brittleness>,
    is_brittle: atomic::AtomicBool,
}

impl Notices {
    /// Whether the upstream has announced that it is leaving.
    pub fn is_leaving(&self) -> bool {
        self.is_leaving.load(atomic::Ordering::Relaxed)
    }

    /// Records that the upstream is leaving; `true` if that was not known.
    pub fn record_leaving(&self) -> bool {
        !self.is_leaving.swap(true, atomic::Ordering::Relaxed)
    }

    /// Whether the upstream wants no requests of this daemon at `now`.
    pub fn is_paused(&self, now: clock::Millis) -> bool {
        now < self.paused_until()
    }

    /// Time before which the upstream wants no requests of this daemon; zero if it has named none.
    pub fn paused_until(&self) -> clock::Millis {
        clock::Millis(self.paused_until.load(atomic::Ordering::Relaxed))
    }

    /// Records that the upstream wants no requests of this daemon before `until`; the latest time
    /// counts. `true` if the upstream was not paused at `now`.
    pub fn record_pause(&self, now: clock::Millis, until: clock::Millis) -> bool {
        let known = self
            .paused_until
            .fetch_max(until.0, atomic::Ordering::Relaxed);
        known <= now.0 && now < until
    }

    /// Whether the upstream has announced that it fails after too many refusals.
    pub fn is_brittle(&self) -> bool {
        self.is_brittle.load(atomic::Ordering::Relaxed)
    }

    /// How many refusals the upstream bears; changed by [`Notices::update_brittleness`].
    pub fn brittleness(&self) -> sync::MutexGuard<'_, brittleness::Brittleness> {
        self.brittleness
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Records an answer of the upstream as `update` does.
    pub fn update_brittleness<T>(
        &self,
        update: impl FnOnce(&mut brittleness::Brittleness) -> T,
    ) -> T {
        let mut known = self.brittleness();
        let updated = update(&mut known);
        self.is_brittle
            .store(known.is_known(), atomic::Ordering::Relaxed);
        updated
    }

    /// Whether the upstream takes requests of this daemon at `now`.
    pub fn is_open(&self, now: clock::Millis) -> bool {
        !self.is_leaving() && !self.is_paused(now)
    }
}
