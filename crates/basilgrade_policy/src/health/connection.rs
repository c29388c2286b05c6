//! Backoff for an upstream that refuses connections.

use std::sync::atomic;

use basilgrade_types::clock;
use rand::Rng;

/// Time without calls after the first refused connection, in milliseconds.
const MIN_BACKOFF_MS: u64 = 500;

/// Limit of the doublings of the backoff. The longest backoff is 8 s plus at most 1 s of jitter,
/// within the 10 s after a fault in which the load has to return to normal.
const MAX_DOUBLINGS: u32 = 4;

/// Weight after a backoff until the upstream has responded to a call.
const PROBE_WEIGHT: f32 = 0.1;

/// Consecutive refused connections of one upstream and the end of the current backoff.
#[derive(Debug, Default)]
pub struct ConnectionHealth {
    refusals: atomic::AtomicU32,
    backoff_until: atomic::AtomicU64,
}

impl ConnectionHealth {
    /// Records that a connection was refused or timed out during the handshake.
    pub fn refused(&self, now: clock::Millis, rng: &mut dyn Rng) {
        if now < self.backoff_until() {
            // The call was sent before the backoff began, so its failure gives no new information.
            return;
        }
        let refusals = self.refusals.fetch_add(1, atomic::Ordering::Relaxed);
        let backoff = MIN_BACKOFF_MS << refusals.min(MAX_DOUBLINGS);
        // Jitter of an eighth in both directions keeps daemons from probing at the same instant.
        let jitter = rng.next_u64() % (backoff / 4 + 1);
        let backoff_until = now.plus(clock::Millis(backoff - backoff / 8 + jitter));
        self.backoff_until
            .store(backoff_until.0, atomic::Ordering::Relaxed);
    }

    /// Records a response, including one that reports an error.
    pub fn answered(&self) {
        self.refusals.store(0, atomic::Ordering::Relaxed);
        self.backoff_until.store(0, atomic::Ordering::Relaxed);
    }

    /// Weight from 0 (no calls) to 1 (healthy).
    pub fn weight(&self, now: clock::Millis) -> f32 {
        if now < self.backoff_until() {
            return 0.0;
        }
        if self.refusals.load(atomic::Ordering::Relaxed) > 0 {
            return PROBE_WEIGHT;
        }
        1.0
    }

    fn backoff_until(&self) -> clock::Millis {
        clock::Millis(self.backoff_until.load(atomic::Ordering::Relaxed))
    }
}
