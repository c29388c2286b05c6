//! A floating-point number that many threads read and write without a lock.

use std::sync::atomic;

/// An atomic `f32`, stored as its bit pattern.
#[derive(Debug, Default)]
pub struct AtomicF32 {
    bits: atomic::AtomicU32,
}

impl AtomicF32 {
    pub fn new(value: f32) -> Self {
        Self {
            bits: atomic::AtomicU32::new(value.to_bits()),
        }
    }

    pub fn get(&self) -> f32 {
        f32::from_bits(self.bits.load(atomic::Ordering::Relaxed))
    }

    pub fn set(&self, value: f32) {
        self.bits.store(value.to_bits(), atomic::Ordering::Relaxed);
    }

    /// Moves the value towards `sample` by `factor`, from 0 to 1, as in an exponential moving
    /// average.
    ///
    /// The update is not atomic: two concurrent updates may lose one sample, which is too little to
    /// change a routing decision.
    pub fn smooth(&self, sample: f32, factor: f32) {
        let old = self.get();
        self.set(old + (sample - old) * factor);
    }
}
