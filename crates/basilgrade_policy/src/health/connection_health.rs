//! Whether an upstream accepts connections.

use std::sync::atomic;

use basilgrade_types::clock;
use rand::Rng;

/// Shortest time without calls after a refused connection, in milliseconds.
const SHORTEST: u64 = 500;

/// Doublings of the shortest time; the longest is 8 s, inside the 10 s in which load has to be back
/// to normal after a fault.
const DOUBLINGS: u32 = 4;

/// Weight until the first answer after the time without calls.
const PROBING: f32 = 0.1;

/// Consecutive refusals of one upstream, and the time until it is tried again.
#[derive(Debug, Default)]
pub struct ConnectionHealth {
    refusals: atomic::AtomicU32,
    until: atomic::AtomicU64,
}

impl ConnectionHealth {
    /// Records that a connection was refused or timed out while connecting.
    pub fn refused(&self, now: clock::Millis, rng: &mut dyn Rng) {
        if now < self.until() {
            // Calls sent before the first refusal say nothing new.
            return;
        }
        let refusals = self.refusals.fetch_add(1, atomic::Ordering::Relaxed);
        let span = SHORTEST << refusals.min(DOUBLINGS);
        // Jitter of a quarter, so that daemons do not try it at the same instant.
        let jitter = rng.next_u64() % (span / 4 + 1);
        let until = now.plus(clock::Millis(span - span / 8 + jitter));
        self.until.store(until.0, atomic::Ordering::Relaxed);
    }

    /// Records an answer, even one that reports an error.
    pub fn answered(&self) {
        self.refusals.store(0, atomic::Ordering::Relaxed);
        self.until.store(0, atomic::Ordering::Relaxed);
    }

    /// Weight from 0 (not called) to 1.
    pub fn weight(&self, now: clock::Millis) -> f32 {
        if now < self.until() {
            return 0.0;
        }
        if self.refusals.load(atomic::Ordering::Relaxed) > 0 {
            return PROBING;
        }
        1.0
    }

    fn until(&self) -> clock::Millis {
        clock::Millis(self.until.load(atomic::Ordering::Relaxed))
    }
}
