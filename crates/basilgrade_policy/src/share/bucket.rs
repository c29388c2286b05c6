//! A token bucket.

use std::sync::atomic;

use basilgrade_types::clock;

/// Microseconds per millisecond.
const MICROS_PER_MS: f32 = 1000.0;

/// A token bucket that refills at a rate and admits bursts up to a size.
///
/// The only state is the instant at which the bucket will be full again, in microseconds, so one
/// atomic word suffices.
#[derive(Debug, Default)]
pub struct TokenBucket {
    full_at: atomic::AtomicU64,
}

impl TokenBucket {
    /// Takes one token from a bucket that refills with `rate` tokens per second up to `burst`
    /// tokens. Returns `false` if the bucket is empty.
    pub fn take(&self, now: clock::Millis, rate: f32, burst: f32) -> bool {
        if rate <= 0.0 {
            return false;
        }
        let now = now.0.saturating_mul(MICROS_PER_MS as u64);
        let interval = (MICROS_PER_MS * 1000.0 / rate) as u64;
        let capacity = (burst.max(1.0) * MICROS_PER_MS * 1000.0 / rate) as u64;
        let relaxed = atomic::Ordering::Relaxed;
        let next = |full_at: u64| {
            let next = full_at.max(now).saturating_add(interval);
            (next <= now.saturating_add(capacity)).then_some(next)
        };
        self.full_at.fetch_update(relaxed, relaxed, next).is_ok()
    }
}
