//! A clock that only moves when told to, for tests and benchmarks in virtual time.

use std::sync::atomic;

use crate::clock;

/// A clock set by its user.
#[derive(Debug, Default)]
pub struct ManualClock {
    now: atomic::AtomicU64,
}

impl ManualClock {
    /// A clock that reads `start`.
    pub fn new(start: clock::Millis) -> Self {
        Self {
            now: atomic::AtomicU64::new(start.0),
        }
    }

    /// Moves the clock forward by `span`.
    pub fn advance(&self, span: clock::Millis) {
        self.now.fetch_add(span.0, atomic::Ordering::Relaxed);
    }
}

impl clock::Clock for ManualClock {
    fn now(&self) -> clock::Millis {
        clock::Millis(self.now.load(atomic::Ordering::Relaxed))
    }
}
