//! Rate of events, averaged over the recent past.

use basilgrade_types::clock;
use basilgrade_types::rate;

/// Time over which the rate is averaged; bursts of a few seconds are left to queues, since loading
/// a model takes longer than they last.
const SPAN: clock::Millis = clock::Millis::from_secs(20);

/// An exponentially decayed rate, fed with a running total.
#[derive(Clone, Copy, Debug, Default)]
pub struct Meter {
    last: Option<(clock::Millis, u64)>,
    rate: f64,
}

impl Meter {
    /// Takes note of the total number of events up to `now`.
    pub fn observe(&mut self, now: clock::Millis, total: u64) {
        let Some((at, before)) = self.last else {
            self.last = Some((now, total));
            return;
        };
        let span = now.since(at);
        if span == clock::Millis::ZERO {
            return;
        }
        let current = total.saturating_sub(before) as f64 * 1000.0 / span.as_f64();
        let weight = 1.0 - (-span.as_f64() / SPAN.as_f64()).exp();
        self.rate += (current - self.rate) * weight;
        self.last = Some((now, total));
    }

    /// The rate.
    pub fn rate(&self) -> rate::RequestRate {
        rate::RequestRate(self.rate)
    }
}
