//! Simulated latencies of network links and log reads.

use rand::Rng;
use rand::RngExt;

/// Number of regions over which the domains are distributed.
const REGIONS: usize = 5;

/// Returns the one-way latency between two domains in milliseconds.
///
/// The base is 1 ms within a domain, 4 ms between domains of a region and 40 ms between regions,
/// because the design documentation states an order of magnitude between the last two. A jitter of
/// up to half of the base is added.
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

/// Returns the round-trip time of a read of the log, in milliseconds.
pub(crate) fn log_read(rng: &mut dyn Rng) -> u64 {
    rng.random_range(20..=60)
}
