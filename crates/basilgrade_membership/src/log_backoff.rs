//! Polling interval and backoff of a domain's log reader.

use basilgrade_types::clock;
use rand::Rng;
use rand::RngExt;

use crate::timing;

/// Returns the delay before the next read of the log after `failures` consecutive failures.
///
/// After a successful read, the delay is [`timing::LOG_POLL_INTERVAL`] with a jitter of 20 %. After
/// failures, it is drawn from a range whose upper end doubles up to [`timing::MAX_LOG_BACKOFF`], so
/// that the readers of all domains do not retry at the same moment when the log recovers.
pub fn next_read_delay(failures: u32, rng: &mut dyn Rng) -> clock::Millis {
    let base = timing::LOG_POLL_INTERVAL.0;
    if failures == 0 {
        return clock::Millis(rng.random_range(base * 4 / 5..=base * 6 / 5));
    }
    let ceiling = base
        .saturating_mul(1 << failures.min(16))
        .min(timing::MAX_LOG_BACKOFF.0);
    clock::Millis(rng.random_range(base / 2..=ceiling))
}
