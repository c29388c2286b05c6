//! Load balancing when load information is stale and many daemons select at the same time.
//!
//! Each daemon keeps an estimate for every upstream: its own pending work, the pending work that
//! other daemons have reported, and the time that the upstream takes for a unit of work. A unit is a
//! prompt token for requests with a prompt and a request otherwise. An upstream is selected among a
//! few random candidates, so that daemons with the same information do not select the same one.

use std::sync;

use basilgrade_types::clock;
use indexmap::IndexMap;

use crate::directory::upstream;
use crate::model::prompt;
use crate::ranking;

pub mod exchange;
pub mod speed_floor;

/// Age at which a report of other daemons' work has no weight any more; until then the weight falls
/// linearly.
pub const REPORT_TTL: clock::Millis = clock::Millis(2000);

/// Weight of a report of other daemons' work that is just made. Most of the reported prompts are
/// processed before the next request arrives; with a weight of 1, the 95th percentile of the time to
/// the first event was a fifth longer at 380 daemons.
const MAX_REPORT_WEIGHT: f64 = 0.4;

/// Weight of one sample in the moving average of the time for a unit of work.
const SAMPLE_WEIGHT: f64 = 0.1;

/// Time in which the weight of a pace without new samples is halved: an upstream that was slow once
/// must be tried again.
const PACE_HALF_LIFE: clock::Millis = clock::Millis(30_000);

/// Factor by which a single sample may differ from the average; larger differences are time-outs and
/// stalls rather than speed.
const MAX_SAMPLE_FACTOR: f64 = 4.0;

/// Work of a request besides its prompt, in tokens: the first step of token generation and the network
/// take about as long as processing this many. With half of it, small prompts make engines look slow,
/// and the 99th percentile of the time to the first event was a fifth longer at 60 daemons.
const FIRST_STEP_TOKENS: f64 = 2000.0;

/// Time for a prompt token while no engine of the pool has been measured, in milliseconds.
const DEFAULT_TOKEN_PACE: f64 = 0.025;

/// Time for a request of a plain service while no upstream of the pool has been measured, in
/// milliseconds.
const DEFAULT_REQUEST_PACE: f64 = 30.0;

/// Multiple of the pool's mean load up to which an engine is preferred for a shared prompt part.
const AFFINITY_LOAD_FACTOR: f64 = 1.5;

/// Number of engines that are preferred for a shared prompt part in turn, as those before have too
/// much load; frequent parts have more.
pub const AFFINITY_RANKS: usize = 4;

/// Share of the time of an engine that requests with one frequent shared part may take.
const PART_UTILISATION: f64 = 0.3;

/// Time in which the count of requests with a shared part is halved; bursts of one part last some
/// seconds.
const PART_HALF_LIFE: clock::Millis = clock::Millis(2000);

/// Maximum number of shared parts whose requests are counted.
const MAX_PARTS: usize = 1024;

/// Number of those engines that are candidates for the same request.
const AFFINITY_WIDTH: usize = 3;

/// Additional cost of a prompt token that is processed again, as a multiple of its time: it also
/// delays other requests.
pub const REPEATED_TOKEN_COST: f64 = 2.0;

/// Number of random candidates of a draw; a selection has two draws.
const CANDIDATES: usize = 2;

/// Part by which costs vary at random, so that of upstreams with almost the same cost each one is
/// selected, also one that has not been measured.
pub const COST_VARIATION: f64 = 0.1;

/// Number of draws, some of which repeat an earlier one.
const DRAW_ATTEMPTS: u64 = 12;

/// How upstreams are selected.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Mode {
    /// By this daemon's own load, all upstreams being equal.
    #[default]
    Off,
    /// By the estimates of this module.
    Learned,
}

impl std::str::FromStr for Mode {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "off" => Ok(Self::Off),
            "learned" => Ok(Self::Learned),
            _ => Err(()),
        }
    }
}

/// What a selection among random candidates needs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Draw {
    /// Random number.
    pub seed: u64,
    /// Rate of requests with the last shared part of the prompt, of all daemons in a second.
    pub part_rate: f64,
    /// Whether work in the pool is measured in prompt tokens rather than in requests. It is the same
    /// for all requests of a pool, whether or not they name a prompt.
    pub by_tokens: bool,
}

/// Measured work of an upstream, for the estimate of its speed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Sample {
    /// Units of work that the upstream had to do until the first event or the answer, including work
    /// that was pending when the request was sent.
    pub units: f64,
    /// Time to the first event or the answer.
    pub span: clock::Millis,
}

/// Average of some samples.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Samples {
    pub count: u32,
    /// Mean time for a unit of work, in milliseconds.
    pub pace: f64,
}

/// Work of other daemons at an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Work {
    /// Prompt tokens that have not been processed.
    pub tokens: f64,
    /// Requests in progress.
    pub active: f64,
}

/// What a daemon knows of the load and the speed of one run of an upstream, besides its own
/// requests.
#[derive(Clone, Debug, Default)]
pub struct Tracker {
    others: Option<(clock::Millis, Work)>,
    /// Moving average of the time for a unit of work, in milliseconds, and the time of the last
    /// sample.
    pace: Option<(clock::Millis, f64)>,
    /// Low quantile of the time for a unit of work.
    floor: speed_floor::SpeedFloor,
    /// Samples that have not been reported.
    unreported: Samples,
}

impl Tracker {
    /// Records a measurement of this daemon.
    pub fn record_sample(&mut self, now: clock::Millis, sample: Sample) {
        if sample.units <= 0.0 {
            return;
        }
        let measured = sample.span.as_f64().max(1.0) / sample.units;
        let pace = self.pace().map_or(measured, |known| {
            measured.clamp(known / MAX_SAMPLE_FACTOR, known * MAX_SAMPLE_FACTOR)
        });
        self.unreported.add(Samples { count: 1, pace });
        self.merge_pace(now, Samples { count: 1, pace });
    }

    /// Records measurements of other daemons.
    pub fn merge_pace(&mut self, now: clock::Millis, samples: Samples) {
        self.floor.record(samples.count, samples.pace);
        let weight = 1.0 - (1.0 - SAMPLE_WEIGHT).powf(f64::from(samples.count));
        let pace = self.pace().map_or(samples.pace, |known| {
            known + (samples.pace - known) * weight
        });
        self.pace = Some((now, pace));
    }

    /// Records the work of other daemons, as it was at `at`.
    pub fn set_others(&mut self, at: clock::Millis, work: Work) {
        if self.others.is_none_or(|(known, _)| known <= at) {
            self.others = Some((at, work));
        }
    }

    /// Replaces the time for a unit of work by the one that the daemons together have measured.
    pub fn set_pace(&mut self, now: clock::Millis, pace: f64) {
        self.pace = Some((now, pace));
    }

    /// Low quantile of the time for a unit of work.
    pub fn floor(&self) -> speed_floor::SpeedFloor {
        self.floor
    }

    /// Replaces the low quantile by the one that the daemons together have measured.
    pub fn set_floor(&mut self, floor: speed_floor::SpeedFloor) {
        self.floor = floor;
    }

    /// Takes the samples since the last call.
    pub fn take_samples(&mut self) -> Samples {
        std::mem::take(&mut self.unreported)
    }

    /// Moving average of the time for a unit of work, in milliseconds; `None` before the first
    /// sample.
    pub fn pace(&self) -> Option<f64> {
        self.pace.map(|(_, pace)| pace)
    }

    /// The pace and the weight of its last sample, which falls from 1 with its age.
    pub fn aged_pace(&self, now: clock::Millis) -> Option<(f64, f64)> {
        let (at, pace) = self.pace?;
        let half_lives = (now - at).as_f64() / PACE_HALF_LIFE.as_f64();
        Some((pace, (-half_lives).exp2()))
    }

    /// Age of the last report of other daemons' work, if there is one.
    pub fn report_age(&self, now: clock::Millis) -> Option<clock::Millis> {
        self.others.map(|(at, _)| now - at)
    }

    /// Work of other daemons, less the more the older its report is.
    pub fn others_work(&self, now: clock::Millis) -> Work {
        let (work, weight) = self.others(now);
        Work {
            tokens: work.tokens * weight,
            active: work.active * weight,
        }
    }

    /// Work of other daemons and the weight of that report, up to `MAX_REPORT_WEIGHT`.
    fn others(&self, now: clock::Millis) -> (Work, f64) {
        let Some((at, work)) = self.others else {
            return (Work::default(), 0.0);
        };
        let age = (now - at).as_f64();
        let freshness = (1.0 - age / REPORT_TTL.as_f64()).max(0.0);
        (work, MAX_REPORT_WEIGHT * freshness)
    }
}

impl Samples {
    /// Adds `other` to the average.
    pub fn add(&mut self, other: Self) {
        let count = self.count.saturating_add(other.count);
        if count > 0 {
            let sum = self.pace * f64::from(self.count) + other.pace * f64::from(other.count);
            self.pace = sum / f64::from(count);
        }
        self.count = count;
    }
}

/// Estimated load of an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Time for a unit of work, in milliseconds.
    pub pace: f64,
    /// Pending units of work of all daemons.
    pub pending: f64,
    /// Requests of all daemons in progress.
    pub active: f64,
    /// Weight of the report of other daemons, which falls to 0 with its age.
    pub report_weight: f64,
}

impl Load {
    /// Expected time, in milliseconds, until `units` of additional work are done.
    pub fn time(&self, units: f64) -> f64 {
        self.pace * (self.pending + units)
    }

    /// Expected time, in milliseconds, until the pending work is done.
    pub fn delay(&self) -> f64 {
        self.pace * self.pending
    }
}

/// Estimated loads of the upstreams of a pool, in the order of `candidates`.
///
/// Where no report of other daemons is known, or only an old one, the mean of the known ones takes
/// its place, so that missing information neither attracts requests nor repels them. Likewise for
/// paces.
pub fn loads(
    now: clock::Millis,
    candidates: &[&sync::Arc<upstream::Upstream>],
    by_tokens: bool,
) -> Vec<Load> {
    let known: Vec<_> = candidates
        .iter()
        .map(|candidate| {
            let tracker = candidate.stats.tracker();
            (tracker.others(now), tracker.aged_pace(now))
        })
        .collect();
    let mut mean = Work::default();
    let mut weights = 0.0;
    let mut paces = (0.0, 0.0);
    for ((work, weight), pace) in &known {
        mean.tokens += work.tokens * weight;
        mean.active += work.active * weight;
        weights += weight;
        if let Some((pace, weight)) = pace {
            paces = (paces.0 + pace.ln() * weight, paces.1 + weight);
        }
    }
    if weights > 0.0 {
        mean.tokens /= weights;
        mean.active /= weights;
    }
    let default_pace = match paces {
        (sum, weights) if weights > 0.0 => (sum / weights).exp(),
        _ if by_tokens => DEFAULT_TOKEN_PACE,
        _ => DEFAULT_REQUEST_PACE,
    };
    let estimate = |(candidate, known): (&&sync::Arc<upstream::Upstream>, &_)| {
        let ((work, weight), pace): &((Work, f64), Option<(f64, f64)>) = known;
        let blend = |known: f64, mean: f64| known * weight + mean * (1.0 - weight);
        let stats = &candidate.stats;
        let active = f64::from(stats.active()) + blend(work.active, mean.active);
        let pending = if by_tokens {
            stats.pending_tokens() as f64 + blend(work.tokens, mean.tokens)
        } else {
            active / f64::from(candidate.slots.max(1))
        };
        Load {
            pace: pace.map_or(default_pace, |(pace, weight)| {
                (pace.ln() * weight + default_pace.ln() * (1.0 - weight)).exp()
            }),
            pending,
            active,
            report_weight: *weight,
        }
    };
    candidates.iter().zip(&known).map(estimate).collect()
}

/// Units of work of a request of which `tokens` prompt tokens must be processed.
pub fn prompt_units(tokens: u64) -> f64 {
    tokens as f64 + FIRST_STEP_TOKENS
}

/// Indices of up to `CANDIDATES` random elements of `weights`, drawn with these weights; `seed` is a
/// random number.
pub fn draw(seed: u64, weights: impl Iterator<Item = f64>) -> Vec<usize> {
    let mut sum = 0.0;
    let sums: Vec<f64> = weights
        .map(|weight| {
            sum += weight;
            sum
        })
        .collect();
    let mut drawn = Vec::with_capacity(CANDIDATES);
    for attempt in 0..DRAW_ATTEMPTS {
        if drawn.len() == CANDIDATES.min(sums.len()) {
            break;
        }
        let random = ranking::mix(seed, attempt);
        let uniform = (random >> 11) as f64 / (1u64 << 53) as f64;
        let index = sums.partition_point(|known| *known <= uniform * sum);
        if index < sums.len() && !drawn.contains(&index) {
            drawn.push(index);
        }
    }
    drawn
}

/// Number of engines that are needed for a shared prompt part in addition to [`AFFINITY_RANKS`], if
/// all daemons together send `rate` requests with it in a second, each of `units` of work.
pub fn additional_ranks(rate: f64, units: f64, loads: &[Load]) -> usize {
    let speed: f64 = loads.iter().map(|load| 1.0 / load.pace).sum();
    let mean_speed = speed / loads.len().max(1) as f64;
    (rate / 1000.0 * units / mean_speed.max(f64::MIN_POSITIVE) / PART_UTILISATION) as usize
}

/// The engines of `ranked`, indices of `loads` with the best first, that are preferred for a shared
/// prompt part, of which `AFFINITY_WIDTH` are candidates.
///
/// An engine is preferred while its load is at most `AFFINITY_LOAD_FACTOR` times the pool's mean,
/// and in any case while at most `allowance` units of work are pending there: as much as one request
/// brings. For a frequent part, with more than [`AFFINITY_RANKS`] engines, the candidates are drawn
/// by the random number `seed`, as daemons would overload the first ones before they learn it.
pub fn preferred(ranked: &[usize], loads: &[Load], allowance: f64, seed: u64) -> Vec<usize> {
    let bound = mean_delay(loads) * AFFINITY_LOAD_FACTOR;
    let is_within = |index: &usize| {
        let load = &loads[*index];
        load.delay() <= bound || load.pending <= allowance
    };
    let mut within: Vec<_> = ranked.iter().copied().filter(is_within).collect();
    if ranked.len() > AFFINITY_RANKS {
        let drawn = draw(seed, within.iter().map(|index| 1.0 / loads[*index].pace));
        within = drawn.into_iter().map(|drawn| within[drawn]).collect();
    }
    within.truncate(AFFINITY_WIDTH);
    within
}

/// Recent requests of this daemon by their last shared prompt part.
#[derive(Clone, Debug, Default)]
pub struct Popularity {
    /// Number of requests, halved in each `PART_HALF_LIFE`, and the time of the last one.
    parts: IndexMap<prompt::PartId, (f64, clock::Millis)>,
}

impl Popularity {
    /// Records a request with `part`.
    pub fn record(&mut self, now: clock::Millis, part: prompt::PartId) {
        let count = self.count(now, part);
        self.parts.shift_remove(&part);
        self.parts.insert(part, (count + 1.0, now));
        while self.parts.len() > MAX_PARTS {
            self.parts.shift_remove_index(0);
        }
    }

    /// Rate, in requests a second, at which `daemons` daemons together send requests with `part`, as
    /// estimated from those of this daemon.
    pub fn rate(&self, now: clock::Millis, part: prompt::PartId, daemons: usize) -> f64 {
        // A steady rate keeps the count at its product with this time.
        let window = PART_HALF_LIFE.as_f64() / std::f64::consts::LN_2;
        self.count(now, part) * daemons as f64 * 1000.0 / window
    }

    fn count(&self, now: clock::Millis, part: prompt::PartId) -> f64 {
        let (count, at) = self.parts.get(&part).copied().unwrap_or_default();
        let half_lives = (now - at).as_f64() / PART_HALF_LIFE.as_f64();
        count * (-half_lives).exp2()
    }
}

/// Time, in milliseconds, that the pending work of a pool takes if it is spread by speed.
fn mean_delay(loads: &[Load]) -> f64 {
    let pending: f64 = loads.iter().map(|load| load.pending).sum();
    let speed: f64 = loads.iter().map(|load| 1.0 / load.pace).sum();
    if speed > 0.0 { pending / speed } else { 0.0 }
}
