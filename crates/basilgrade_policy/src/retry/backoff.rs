//! Delay before a retry.

use basilgrade_types::clock;
use rand::Rng;

/// Mean delay before the first retry, in milliseconds. Each further retry doubles the mean.
const FIRST_DELAY_MS: u64 = 10;

/// Limit of the doublings, so that the mean delay never exceeds 320 ms.
const MAX_DOUBLINGS: u32 = 5;

/// Draws the delay before a retry, uniformly between 0 and twice the mean.
///
/// `retry` counts from 0. The randomness keeps clients whose calls failed together from retrying at
/// the same instant.
pub fn delay(retry: u32, rng: &mut dyn Rng) -> clock::Millis {
    let max_delay = (2 * FIRST_DELAY_MS) << retry.min(MAX_DOUBLINGS);
    clock::Millis(rng.next_u64() % (max_delay + 1))
}
