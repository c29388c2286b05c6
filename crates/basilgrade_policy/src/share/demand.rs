//! Recent request rate of one customer at this daemon.

use std::sync::atomic;

use basilgrade_types::clock;

/// Time constant of the exponential decay: after 10 s, a request counts about a third (1/e).
///
/// With 3 s, the measured rate of a customer with one request per second varied so much that 0.02%
/// of the requests within a quota were refused.
const TIME_CONSTANT_SECS: f32 = 10.0;

/// Request rate with exponential decay of old requests.
#[derive(Debug, Default)]
pub struct CustomerDemand {
    /// Bit pattern of the rate per second at the last update, as `f32`.
    rate: atomic::AtomicU32,
    updated: atomic::AtomicU64,
}

impl CustomerDemand {
    /// Records one request. If two threads record at once, one request may be lost, which lowers
    /// the rate only slightly.
    pub fn record(&self, now: clock::Millis) {
        let rate = self.rate(now) + 1.0 / TIME_CONSTANT_SECS;
        self.rate.store(rate.to_bits(), atomic::Ordering::Relaxed);
        self.updated.store(now.0, atomic::Ordering::Relaxed);
    }

    /// Requests per second.
    pub fn rate(&self, now: clock::Millis) -> f32 {
        let updated = clock::Millis(self.updated.load(atomic::Ordering::Relaxed));
        let age = (now - updated).0 as f32 / 1000.0;
        f32::from_bits(self.rate.load(atomic::Ordering::Relaxed))
            * (-age / TIME_CONSTANT_SECS).exp()
    }
}
