//! Decision to send a hedge: a duplicate of a call that is still in flight.

use basilgrade_types::clock;

use crate::router;
use crate::router::score;
use crate::router::settings;

/// Share of an answer that has to arrive before its pace is extrapolated to the remainder.
const MIN_PROGRESS: f32 = 0.02;

/// Expected time until a call in flight finishes at its current pace, in milliseconds.
///
/// `progress` is the share of the expected tokens that arrived in `elapsed` milliseconds. While it
/// is too small to extrapolate, the result is `p95`, the 0.95 quantile of the stage time.
pub fn expected_remaining(elapsed: f32, progress: f32, p95: f32) -> f32 {
    if progress < MIN_PROGRESS {
        return p95;
    }
    elapsed * (1.0 - progress).max(0.0) / progress
}

/// Whether to send `hedge`, given that the call in flight needs another `remaining` milliseconds.
///
/// The hedge has to be expected to finish first, and the reduction in the chance of missing the
/// deadline, multiplied by the value of a deadline met, has to exceed the cost of the hedge.
/// Elapsed time alone is no criterion: long answers are late without any fault of the upstream, and
/// hedging on elapsed time duplicated them.
pub fn is_worthwhile(
    settings: &settings::ScoreSettings,
    remaining: f32,
    time_left: clock::Millis,
    hedge: &router::Choice,
) -> bool {
    let time_left = time_left.0.max(1) as f32;
    let avoided_misses =
        score::miss_chance(remaining / time_left) - score::miss_chance(hedge.finish_ms / time_left);
    hedge.finish_ms < remaining && settings.attainment * avoided_misses > settings.cost * hedge.cost
}
