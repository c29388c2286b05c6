//! Latency of links.

use rand::Rng;
use rand::RngExt;

/// Regions over which the domains are spread.
const REGIONS: usize = 5;

/// One-way latency in milliseconds between two domains, with a jitter of up to a half.
///
/// Inside a domain 1 ms, between domains of a region 4 ms, between regions 40 ms: the page gives
/// an order of magnitude between the last two.
pub(crate) fn one_way(from: usize, to: usize, rng: &mut dyn Rng) -> u64 {
    let base: u64 = if from == to {
        1
    } else if from % REGIONS == to % REGIONS {
        4
    } else {
        40
    };
    base + rng.random_range(0..=base.div_ceil(2))
}

/// Time for a read of the log and its answer, in milliseconds.
pub(crate) fn log_read(rng: &mut dyn Rng) -> u64 {
    rng.random_range(20..=60)
}
