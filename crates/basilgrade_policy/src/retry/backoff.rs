//! Delay before a retry.

use basilgrade_types::clock;
use rand::Rng;

/// Mean delay before the first retry, in milliseconds; doubled for each one after it.
const FIRST: u64 = 10;

/// Most doublings; the longest mean delay is 320 ms.
const DOUBLINGS: u32 = 5;

/// A random delay before retry number `retry`, from 0, so that callers that failed together do not
/// return together.
pub fn delay(retry: u32, rng: &mut dyn Rng) -> clock::Millis {
    let most = (2 * FIRST) << retry.min(DOUBLINGS);
    clock::Millis(rng.next_u64() % (most + 1))
}
