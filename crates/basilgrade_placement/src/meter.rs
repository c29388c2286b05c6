//! Exponentially weighted average of an event rate.

use basilgrade_types::clock;
use basilgrade_types::rate;

/// Time constant of the average. Bursts of a few seconds hardly change the average, because they
/// end before a load would finish; queues absorb them.
const TIME_CONSTANT: clock::Millis = clock::Millis::from_secs(20);

/// An exponentially weighted average rate, computed from readings of a running total.
#[derive(Clone, Copy, Debug, Default)]
pub struct Meter {
    last_reading: Option<(clock::Millis, u64)>,
    rate: f64,
}

impl Meter {
    /// Records the total number of events up to `now`.
    pub fn observe(&mut self, now: clock::Millis, total: u64) {
        let Some((read_at, previous_total)) = self.last_reading else {
            self.last_reading = Some((now, total));
            return;
        };
        let elapsed = now.since(read_at);
        if elapsed == clock::Millis::ZERO {
            return;
        }
        let current = total.saturating_sub(previous_total) as f64 * 1000.0 / elapsed.as_f64();
        let weight = 1.0 - (-elapsed.as_f64() / TIME_CONSTANT.as_f64()).exp();
        self.rate += (current - self.rate) * weight;
        self.last_reading = Some((now, total));
    }

    /// The average rate, in events per second.
    pub fn rate(&self) -> rate::RequestRate {
        rate::RequestRate(self.rate)
    }
}
