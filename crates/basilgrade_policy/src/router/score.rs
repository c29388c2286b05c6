//! The score of one candidate for one call.

use basilgrade_types::clock;

use crate::candidate;
use crate::router;
use crate::router::score_settings;

/// Bytes in the unit that traffic is priced in.
const MIB: f32 = 1_048_576.0;

/// Share of the attainment weight that using up the whole remaining time costs.
///
/// It makes the router prefer the earlier of two finishes that both meet the deadline, without
/// outweighing the price of traffic.
const TIME_SHARE: f32 = 0.05;

/// Slowdown of a call on a full upstream against an idle one, from the batch it shares.
const CROWDING: f32 = 0.25;

/// Ratio of expected finish to remaining time below which a miss is not expected.
const SAFE: f32 = 0.5;

/// Ratio of expected finish to remaining time above which a miss is certain.
const LOST: f32 = 1.25;

/// Expected finish, expected price and their weighted sum.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Score {
    /// Expected time until the call is done, in milliseconds.
    pub finish_ms: f32,
    /// Expected price in millionths of the currency, traffic included.
    pub cost: f32,
    /// Weighted sum; the lowest is best.
    pub total: f32,
}

/// The parts of a score that are the same for every candidate of a call.
#[derive(Clone, Copy, Debug)]
pub struct Scorer<'a> {
    call: &'a router::CallShape,
    now: u64,
    echo: f32,
    daemons: f32,
    /// Share of its weight that a report loses with each millisecond of its age.
    distrust: f32,
    /// Value of one unit of price.
    cost: f32,
    attainment: f32,
    /// Reciprocal of the remaining time in milliseconds.
    urgency: f32,
    mebibytes: f32,
    prompt: f32,
    output: f32,
}

impl<'a> Scorer<'a> {
    /// Prepares the scoring of candidates for `call`.
    pub fn new(
        settings: &score_settings::ScoreSettings,
        now: clock::Millis,
        call: &'a router::CallShape,
    ) -> Self {
        Self {
            call,
            now: now.0,
            echo: settings.sent_factor,
            daemons: settings.daemons,
            distrust: 0.5 / (settings.half_age.0.max(1) as f32),
            cost: settings.cost,
            attainment: settings.attainment,
            urgency: 1.0 / (call.deadline - now).0.max(1) as f32,
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
        let sent = candidate.sent as f32 * self.echo;
        let own = candidate.inflight as f32;
        let age = self.now.saturating_sub(candidate.reported.0) as i64 as f32;
        let trust = larger(1.0 - age * self.distrust, 0.0);
        let load = trust * (reported + sent) + (1.0 - trust) * own * self.daemons;
        let load = larger(load, own);
        let share = 1.0 / candidate.capacity.max(1) as f32;

        let fresh = larger(self.prompt - candidate.cached_tokens as f32, 0.0);
        let base = candidate.service_time + candidate.decode * self.output;
        let alone = base + candidate.prefill * fresh;
        // Calls ahead in the queue are taken to be like this one, without its cached prefix.
        let ahead = base + candidate.prefill * self.prompt;

        let wait = larger((load + 1.0) * share - 1.0, 0.0) * ahead;
        let crowd = 1.0 + CROWDING * smaller(load * share, 1.0);
        let finish_ms = 2.0 * latency + wait + alone * crowd;
        let cost = candidate.price + price * self.mebibytes;
        let ratio = finish_ms * self.urgency;
        let total = self.cost * cost + self.attainment * (miss_chance(ratio) + TIME_SHARE * ratio);
        Score {
            finish_ms,
            cost,
            total,
        }
    }
}

/// Weighted sum of a price and a ratio of expected to remaining time; the lowest is best.
#[inline]
pub(crate) fn weighted_cost(cost: f32, attainment: f32, price: f32, ratio: f32) -> f32 {
    cost * price + attainment * (miss_chance(ratio) + TIME_SHARE * ratio)
}

/// Chance that a call with this ratio of expected finish_ms to remaining time misses its deadline.
///
/// A cubic step instead of a distribution function, because it is evaluated for every candidate.
pub fn miss_chance(ratio: f32) -> f32 {
    let x = (ratio - SAFE) * (1.0 / (LOST - SAFE));
    let x = larger(smaller(x, 1.0), 0.0);
    x * x * (3.0 - 2.0 * x)
}

/// The larger of two numbers that are not NaN; one instruction, where `f32::max` takes several.
#[inline]
const fn larger(one: f32, other: f32) -> f32 {
    if one > other { one } else { other }
}

/// The smaller of two numbers that are not NaN.
#[inline]
const fn smaller(one: f32, other: f32) -> f32 {
    if one < other { one } else { other }
}
