//! Usage of one model.

use std::sync::atomic;

use basilgrade_types::clock;

/// Running totals of one model, shared by all requests.
#[derive(Debug, Default)]
pub struct Usage {
    started: atomic::AtomicU64,
    finished: atomic::AtomicU64,
    elapsed_ms: atomic::AtomicU64,
}

impl Usage {
    /// Counts a started step, including one for which no engine is available.
    pub fn start(&self) {
        self.started.fetch_add(1, atomic::Ordering::Relaxed);
    }

    /// Counts a finished step and its duration.
    pub fn finish(&self, elapsed_ms: clock::Millis) {
        self.elapsed_ms
            .fetch_add(elapsed_ms.0, atomic::Ordering::Relaxed);
        self.finished.fetch_add(1, atomic::Ordering::Relaxed);
    }

    /// Number of steps started so far.
    pub fn started(&self) -> u64 {
        self.started.load(atomic::Ordering::Relaxed)
    }

    /// Number of steps finished so far and their total duration.
    pub fn finished(&self) -> (u64, clock::Millis) {
        let finished = self.finished.load(atomic::Ordering::Relaxed);
        let elapsed_ms = self.elapsed_ms.load(atomic::Ordering::Relaxed);
        (finished, clock::Millis(elapsed_ms))
    }
}
