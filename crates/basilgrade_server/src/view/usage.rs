//! Use of one model.

use std::sync::atomic;

use basilgrade_types::clock;

/// Running totals of one model, shared by all requests.
#[derive(Debug, Default)]
pub struct Usage {
    started: atomic::AtomicU64,
    finished: atomic::AtomicU64,
    spent: atomic::AtomicU64,
}

impl Usage {
    /// Counts a step, whether or not an engine is found for it.
    pub fn start(&self) {
        self.started.fetch_add(1, atomic::Ordering::Relaxed);
    }

    /// Counts a finished step that took `spent`.
    pub fn finish(&self, spent: clock::Millis) {
        self.spent.fetch_add(spent.0, atomic::Ordering::Relaxed);
        self.finished.fetch_add(1, atomic::Ordering::Relaxed);
    }

    /// Steps started so far.
    pub fn started(&self) -> u64 {
        self.started.load(atomic::Ordering::Relaxed)
    }

    /// Steps finished so far and the time they took together.
    pub fn finished(&self) -> (u64, clock::Millis) {
        let finished = self.finished.load(atomic::Ordering::Relaxed);
        let spent = self.spent.load(atomic::Ordering::Relaxed);
        (finished, clock::Millis(spent))
    }
}
