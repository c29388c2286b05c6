//! Observed speed of one upstream.

use std::sync::atomic;

use basilgrade_types::clock;

/// Share of a new observation in the average.
const GAIN: f32 = 0.1;

/// Time in which the influence of old observations falls to a third.
///
/// Without it, an upstream that gets no calls because it was slow would never be tried again.
const FORGET: f32 = 10_000.0;

/// Least and greatest factor that is believed.
const BOUNDS: (f32, f32) = (0.5, 20.0);

/// Ratio of observed to expected time of the calls to one upstream.
///
/// Ratios of calls of different size are comparable, so one average serves them all. A lost update
/// between two threads only delays the average by one observation.
#[derive(Debug)]
pub struct Slowdown {
    /// Bits of the average ratio.
    ratio: atomic::AtomicU32,
    /// When the average was last changed.
    changed: atomic::AtomicU64,
}

impl Default for Slowdown {
    fn default() -> Self {
        Self {
            ratio: atomic::AtomicU32::new(1.0f32.to_bits()),
            changed: atomic::AtomicU64::new(0),
        }
    }
}

impl Slowdown {
    /// Factor by which calls take longer than expected; falls back to 1 without observations.
    pub fn factor(&self, now: clock::Millis) -> f32 {
        let ratio = f32::from_bits(self.ratio.load(atomic::Ordering::Relaxed));
        let changed = clock::Millis(self.changed.load(atomic::Ordering::Relaxed));
        let age = (now - changed).0 as f32;
        1.0 + (ratio - 1.0) * (FORGET / (FORGET + age))
    }

    /// Records a finished call: its expected time at factor 1 and its observed time, in
    /// milliseconds.
    pub fn observe(&self, now: clock::Millis, expected: f32, observed: f32) {
        let sample = (observed / expected.max(0.1)).clamp(BOUNDS.0, BOUNDS.1);
        let factor = self.factor(now);
        self.store(now, factor + GAIN * (sample - factor));
    }

    /// Records a call that is not finished after `elapsed` milliseconds.
    ///
    /// It only raises the factor: a hanging upstream is noticed before its calls end.
    pub fn observe_pending(&self, now: clock::Millis, expected: f32, elapsed: f32) {
        let sample = (elapsed / expected.max(0.1)).min(BOUNDS.1);
        let factor = self.factor(now);
        if sample > 2.0 * factor {
            self.store(now, factor + GAIN * (sample - factor));
        }
    }

    fn store(&self, now: clock::Millis, factor: f32) {
        if !factor.is_finite() {
            return;
        }
        self.ratio
            .store(factor.to_bits(), atomic::Ordering::Relaxed);
        self.changed.store(now.0, atomic::Ordering::Relaxed);
    }
}
