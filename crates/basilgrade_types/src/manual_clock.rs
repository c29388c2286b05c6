//! A manually advanced clock, for tests and benchmarks in virtual time.

use std::sync::atomic;

use crate::clock;

/// A clock whose time changes only when [`ManualClock::advance`] is called.
#[derive(Debug, Default)]
pub struct ManualClock {
    now: atomic::AtomicU64,
}

impl ManualClock {
    /// Creates a clock that returns `start` until the first call of [`ManualClock::advance`].
    pub fn new(start: clock::Millis) -> Self {
        Self {
            now: atomic::AtomicU64::new(start.0),
        }
    }

    /// Advances the clock by `duration`.
    pub fn advance(&self, duration: clock::Millis) {
        self.now.fetch_add(duration.0, atomic::Ordering::Relaxed);
    }
}

impl clock::Clock for ManualClock {
    fn now(&self) -> clock::Millis {
        clock::Millis(self.now.load(atomic::Ordering::Relaxed))
    }
}
