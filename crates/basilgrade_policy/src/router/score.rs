//! Score of one candidate for one call.

use basilgrade_types::clock;

use crate::candidate;
use crate::router;
use crate::router::settings;

/// Bytes per MiB, the unit in which traffic is priced.
const MIB: f32 = 1_048_576.0;

/// Weight of the expected time relative to a missed deadline, for a call that takes all the time
/// left.
///
/// The weight makes the router prefer the faster of two upstreams that both meet the deadline, but
/// is too small to outweigh the price of traffic.
const TIME_WEIGHT: f32 = 0.05;

/// Slowdown of a call on a full upstream against an idle one, because calls share a batch.
const BATCH_SLOWDOWN: f32 = 0.25;

/// Ratio of expected time to time left up to which the deadline is expected to be met.
const SAFE_RATIO: f32 = 0.5;

/// Ratio of expected time to time left from which the deadline is certain to be missed.
const MISSED_RATIO: f32 = 1.25;

/// Expected time, expected price and their weighted sum for one candidate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Score {
    /// Expected time until the call finishes, in milliseconds.
    pub finish_ms: f32,
    /// Expected price in millionths of the currency, traffic included.
    pub cost: f32,
    /// Weighted sum of time and price; the lowest is best.
    pub total: f32,
}

/// Terms of the score that are the same for every candidate of a call, computed once per call.
#[derive(Clone, Copy, Debug)]
pub struct Scorer<'a> {
    call: &'a router::CallShape,
    now: u64,
    sent_factor: f32,
    daemons: f32,
    /// Share of its weight that a load report loses per millisecond of its age.
    age_discount: f32,
    cost: f32,
    attainment: f32,
    /// Reciprocal of the time left, which is in milliseconds.
    inverse_left: f32,
    mebibytes: f32,
    prompt: f32,
    output: f32,
}

impl<'a> Scorer<'a> {
    /// Prepares the scoring of candidates for `call`.
    pub fn new(
        settings: &settings::ScoreSettings,
        now: clock::Millis,
        call: &'a router::CallShape,
    ) -> Self {
        Self {
            call,
            now: now.0,
            sent_factor: settings.sent_factor,
            daemons: settings.daemons,
            age_discount: 0.5 / (settings.half_age.0.max(1) as f32),
            cost: settings.cost,
            attainment: settings.attainment,
            inverse_left: 1.0 / (call.deadline - now).0.max(1) as f32,
            mebibytes: call.bytes as f32 / MIB,
            prompt: call.prompt as f32,
            output: call.output as f32,
        }
    }

    /// Scores one candidate.
    #[inline]
    pub fn score(&self, candidate: &candidate::Candidate) -> Score {
        let region = usize::from(candidate.region);
        let latency = self.call.latencies.get(region).copied().unwrap_or(0.0);
        let price = self.call.prices.get(region).copied().unwrap_or(0.0);

        let reported = (candidate.running + candidate.queued) as f32;
        let sent = candidate.sent as f32 * self.sent_factor;
        let own = candidate.inflight as f32;
        let age = self.now.saturating_sub(candidate.reported.0) as i64 as f32;
        let report_weight = larger(1.0 - age * self.age_discount, 0.0);
        let load = report_weight * (reported + sent) + (1.0 - report_weight) * own * self.daemons;
        let load = larger(load, own);
        let per_slot = 1.0 / candidate.capacity.max(1) as f32;

        let uncached = larger(self.prompt - candidate.cached_tokens as f32, 0.0);
        let base_time = candidate.service_time + candidate.decode * self.output;
        let idle_time = base_time + candidate.prefill * uncached;
        // Queued calls are assumed to be like this call, but without any cached prefix.
        let queued_time = base_time + candidate.prefill * self.prompt;

        let wait = larger((load + 1.0) * per_slot - 1.0, 0.0) * queued_time;
        let batch_factor = 1.0 + BATCH_SLOWDOWN * smaller(load * per_slot, 1.0);
        let finish_ms = 2.0 * latency + wait + idle_time * batch_factor;
        let cost = candidate.price + price * self.mebibytes;
        let ratio = finish_ms * self.inverse_left;
        let total = self.cost * cost + self.attainment * (miss_chance(ratio) + TIME_WEIGHT * ratio);
        Score {
            finish_ms,
            cost,
            total,
        }
    }
}

/// Weighted sum of a price and a ratio of expected time to time left; the lowest is best.
#[inline]
pub(crate) fn weighted_cost(cost: f32, attainment: f32, price: f32, ratio: f32) -> f32 {
    cost * price + attainment * (miss_chance(ratio) + TIME_WEIGHT * ratio)
}

/// Chance that a call with this ratio of expected time to time left misses its deadline.
///
/// The cubic step approximates a distribution function, which would be too slow to evaluate for
/// every candidate.
pub fn miss_chance(ratio: f32) -> f32 {
    let x = (ratio - SAFE_RATIO) * (1.0 / (MISSED_RATIO - SAFE_RATIO));
    let x = larger(smaller(x, 1.0), 0.0);
    x * x * (3.0 - 2.0 * x)
}

/// The larger of two numbers that are not NaN. It compiles to one instruction, whereas `f32::max`
/// takes several.
#[inline]
const fn larger(one: f32, other: f32) -> f32 {
    if one > other { one } else { other }
}

/// The smaller of two numbers that are not NaN.
#[inline]
const fn smaller(one: f32, other: f32) -> f32 {
    if one < other { one } else { other }
}
