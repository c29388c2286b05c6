//! Pace of a domain reader's reads of the log.

use basilgrade_types::clock;
use rand::Rng;
use rand::RngExt;

use crate::timing;

/// The time until the next read of the log after `failures` failed reads in a row.
///
/// Reads that succeed are [`timing::LOG_POLL`] apart, give or take a fifth. After failures the
/// time is drawn from a range that doubles up to [`timing::LOG_BACKOFF`], so the readers of all
/// domains do not return together when the log does.
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
