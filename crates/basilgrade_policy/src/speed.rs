//! Observed slowdown of one upstream against its expected speed.

use std::sync::atomic;

use basilgrade_types::clock;

/// Weight of a new observation in the exponentially weighted moving average.
const SMOOTHING: f32 = 0.1;

/// Age in milliseconds at which the deviation of the average from 1 counts only half.
///
/// Without this decay, an upstream that was once slow would receive no calls, would therefore not
/// be observed again and would keep its high factor forever.
const HALVING_AGE_MS: f32 = 10_000.0;

/// Smallest and largest ratio that an observation can contribute.
const FACTOR_BOUNDS: (f32, f32) = (0.5, 20.0);

/// Moving average of the ratio of observed to expected time of the calls to one upstream.
///
/// Ratios are comparable between calls of different size, so one average covers all calls. Updates
/// are not synchronised: if two threads update at once, one observation is lost, which only delays
/// the average.
#[derive(Debug)]
pub struct Slowdown {
    /// Bit pattern of the average ratio as `f32`.
    ratio: atomic::AtomicU32,
    /// Time of the last update in milliseconds.
    updated: atomic::AtomicU64,
}

impl Default for Slowdown {
    fn default() -> Self {
        Self {
            ratio: atomic::AtomicU32::new(1.0f32.to_bits()),
            updated: atomic::AtomicU64::new(0),
        }
    }
}

impl Slowdown {
    /// Factor by which calls take longer than expected. Without recent observations it tends to 1.
    pub fn factor(&self, now: clock::Millis) -> f32 {
        let ratio = f32::from_bits(self.ratio.load(atomic::Ordering::Relaxed));
        let updated = clock::Millis(self.updated.load(atomic::Ordering::Relaxed));
        let age = (now - updated).0 as f32;
        1.0 + (ratio - 1.0) * (HALVING_AGE_MS / (HALVING_AGE_MS + age))
    }

    /// Records a finished call. `expected` is the time at factor 1, and both times are in
    /// milliseconds.
    pub fn observe(&self, now: clock::Millis, expected: f32, observed: f32) {
        let sample = (observed / expected.max(0.1)).clamp(FACTOR_BOUNDS.0, FACTOR_BOUNDS.1);
        let factor = self.factor(now);
        self.store(now, factor + SMOOTHING * (sample - factor));
    }

    /// Records that a call is still in flight after `elapsed` milliseconds.
    ///
    /// The observation can only raise the factor. It detects a hanging upstream before the calls to
    /// the upstream end.
    pub fn observe_pending(&self, now: clock::Millis, expected: f32, elapsed: f32) {
        let sample = (elapsed / expected.max(0.1)).min(FACTOR_BOUNDS.1);
        let factor = self.factor(now);
        if sample > 2.0 * factor {
            self.store(now, factor + SMOOTHING * (sample - factor));
        }
    }

    fn store(&self, now: clock::Millis, factor: f32) {
        if !factor.is_finite() {
            return;
        }
        self.ratio
            .store(factor.to_bits(), atomic::Ordering::Relaxed);
        self.updated.store(now.0, atomic::Ordering::Relaxed);
    }
}
