//! A token bucket.

use std::sync::atomic;

use basilgrade_types::clock;

/// Tokens are counted in thousandths.
const UNIT: f32 = 1000.0;

/// Tokens that fill up at a rate and allow bursts up to a size.
///
/// It keeps the instant at which it will be full again, in microseconds, so that one atomic word
/// holds the whole state.
#[derive(Debug, Default)]
pub struct TokenBucket {
    full: atomic::AtomicU64,
}

impl TokenBucket {
    /// Takes one token, if there is one, from a bucket of `rate` tokens per second that holds
    /// `burst`.
    pub fn take(&self, now: clock::Millis, rate: f32, burst: f32) -> bool {
        if rate <= 0.0 {
            return false;
        }
        let now = now.0.saturating_mul(UNIT as u64);
        let step = (UNIT * 1000.0 / rate) as u64;
        let depth = (burst.max(1.0) * UNIT * 1000.0 / rate) as u64;
        let relaxed = atomic::Ordering::Relaxed;
        let next = |full: u64| {
            let next = full.max(now).saturating_add(step);
            (next <= now.saturating_add(depth)).then_some(next)
        };
        self.full.fetch_update(relaxed, relaxed, next).is_ok()
    }
}
