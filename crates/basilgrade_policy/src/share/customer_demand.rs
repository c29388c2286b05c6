//! Decayed rate of a customer's requests at this daemon.

use std::sync::atomic;

use basilgrade_types::clock;

/// Time in which the influence of old requests falls to a third, in seconds.
///
/// With 3 s, the rate of a customer with one request per second strays so far that 0.02% of the
/// requests within a quota were refused.
const SPAN: f32 = 10.0;

/// Requests lately, as a rate.
#[derive(Debug, Default)]
pub struct CustomerDemand {
    /// Bits of the rate per second when it was last changed.
    rate: atomic::AtomicU32,
    changed: atomic::AtomicU64,
}

impl CustomerDemand {
    /// Records one request. A request lost between two threads only lowers the rate a little.
    pub fn record(&self, now: clock::Millis) {
        let rate = self.rate(now) + 1.0 / SPAN;
        self.rate.store(rate.to_bits(), atomic::Ordering::Relaxed);
        self.changed.store(now.0, atomic::Ordering::Relaxed);
    }

    /// Requests per second.
    pub fn rate(&self, now: clock::Millis) -> f32 {
        let changed = clock::Millis(self.changed.load(atomic::Ordering::Relaxed));
        let age = (now - changed).0 as f32 / 1000.0;
        f32::from_bits(self.rate.load(atomic::Ordering::Relaxed)) * (-age / SPAN).exp()
    }
}
