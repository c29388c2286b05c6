//! When a second call is sent while the first is in flight.

use basilgrade_types::clock;

use crate::router;
use crate::router::score;
use crate::router::score_settings;

/// Share of an answer below which its pace says too little about the rest.
const LEAST_DONE: f32 = 0.02;

/// Time that a call will still take if it keeps its pace, in milliseconds.
///
/// `done` is the share of the expected tokens that has arrived after `elapsed` milliseconds. Without
/// any, the rest is unknown and taken to be `tail`, the 0.95 quantile of the stage.
pub fn expected_remaining(elapsed: f32, done: f32, tail: f32) -> f32 {
    if done < LEAST_DONE {
        return tail;
    }
    elapsed * (1.0 - done).max(0.0) / done
}

/// Whether a hedge is worth its price, when the first call will take another `rest` milliseconds.
///
/// It is when the second call is expected to finish earlier, and the chance that the first one
/// misses the deadline, at the value of a deadline met, outweighs what the second one costs. A hedge
/// on elapsed time alone repeated long answers, which are late for no fault of the upstream.
pub fn is_worthwhile(
    settings: &score_settings::ScoreSettings,
    rest: f32,
    left: clock::Millis,
    second: &router::Choice,
) -> bool {
    let left = left.0.max(1) as f32;
    let saved = score::miss_chance(rest / left) - score::miss_chance(second.finish_ms / left);
    second.finish_ms < rest && settings.attainment * saved > settings.cost * second.cost
}
