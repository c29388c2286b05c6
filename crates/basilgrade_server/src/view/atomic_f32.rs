//! A number that many threads read and write without a lock.

use std::sync::atomic;

/// An atomic `f32`.
#[derive(Debug, Default)]
pub struct AtomicF32 {
    bits: atomic::AtomicU32,
}

impl AtomicF32 {
    /// A gauge that reads `value`.
    pub fn new(value: f32) -> Self {
        Self {
            bits: atomic::AtomicU32::new(value.to_bits()),
        }
    }

    /// The current value.
    pub fn get(&self) -> f32 {
        f32::from_bits(self.bits.load(atomic::Ordering::Relaxed))
    }

    /// Replaces the value.
    pub fn set(&self, value: f32) {
        self.bits.store(value.to_bits(), atomic::Ordering::Relaxed);
    }

    /// Moves the value towards `sample` by `factor`, from 0 to 1.
    ///
    /// Two threads may overwrite each other's step; the average then misses one sample, which
    /// changes no decision.
    pub fn smooth(&self, sample: f32, factor: f32) {
        let old = self.get();
        self.set(old + (sample - old) * factor);
    }
}
