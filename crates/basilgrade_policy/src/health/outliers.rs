//! Detection of upstreams that are slower or fail more often than the other upstreams of their
//! pool.

use std::sync::atomic;

use basilgrade_types::clock;

/// Amount by which one evaluation raises or lowers a weight.
const WEIGHT_STEP: f32 = 0.25;

/// Ratio of an upstream's slowdown factor to the pool's median above which it is an outlier.
const SLOW_RATIO: f32 = 3.0;

/// Ratio to the pool's median from which the slowdown of an upstream enters its routing score.
///
/// Acting on smaller ratios moved a fifth of the traffic between regions under overload, without
/// any benefit.
pub const RELEVANT_RATIO: f32 = 1.5;

/// Margin of an upstream's failure rate over the pool's median above which it is an outlier.
const FAILURE_MARGIN: f32 = 0.3;

/// Weight of a new observation in the moving average of the failure rate.
const SMOOTHING: f32 = 0.1;

/// Age of the last observation in milliseconds at which the failure rate counts only half.
const HALVING_AGE_MS: f32 = 5000.0;

/// Failure rate and weight of one upstream.
#[derive(Debug)]
struct Member {
    /// Bit pattern of the average failure rate as `f32`.
    failures: atomic::AtomicU32,
    /// Time of the last update of the failure rate, in milliseconds.
    updated: atomic::AtomicU64,
    /// Bit pattern of the weight as `f32`.
    weight: atomic::AtomicU32,
}

/// Health of the upstreams of one pool relative to each other.
///
/// Recording a call only updates atomics. A background task calls [`Outliers::evaluate`] every
/// second to adjust the weights.
#[derive(Debug)]
pub struct Outliers {
    members: Vec<Member>,
    /// Bit pattern of the median slowdown factor of the pool as `f32`.
    median_factor: atomic::AtomicU32,
}

impl Outliers {
    /// A pool of `count` healthy upstreams.
    pub fn new(count: usize) -> Self {
        let member = || Member {
            failures: atomic::AtomicU32::new(0.0f32.to_bits()),
            updated: atomic::AtomicU64::new(0),
            weight: atomic::AtomicU32::new(1.0f32.to_bits()),
        };
        Self {
            members: (0..count).map(|_| member()).collect(),
            median_factor: atomic::AtomicU32::new(1.0f32.to_bits()),
        }
    }

    /// Records whether a call to the upstream at position `member` of the pool failed.
    pub fn observe(&self, now: clock::Millis, member: usize, failed: bool) {
        let Some(state) = self.members.get(member) else {
            return;
        };
        let sample = if failed { 1.0 } else { 0.0 };
        let average = state.failures(now);
        store(&state.failures, average + SMOOTHING * (sample - average));
        state.updated.store(now.0, atomic::Ordering::Relaxed);
    }

    /// Adjusts the weight of every upstream by one step; `factors` are their slowdown factors.
    ///
    /// The weight of an outlier falls by 0.25, any other weight rises by 0.25. The total loss is
    /// limited to a third of the pool, and the worst outliers are reduced first: more than a third
    /// cannot be outliers, and the remaining upstreams could not carry the load.
    pub fn evaluate(&self, now: clock::Millis, factors: &[f32]) {
        let median_factor = median(factors.iter().copied());
        store(&self.median_factor, median_factor);
        let median_failures = median(self.members.iter().map(|member| member.failures(now)));
        let severity = |(index, member): (usize, &Member)| {
            let factor = factors.get(index).copied().unwrap_or(1.0);
            let slow = factor / (SLOW_RATIO * median_factor.max(0.1));
            let failing = (member.failures(now) - median_failures) / FAILURE_MARGIN;
            (index, slow.max(failing))
        };
        let mut order: Vec<_> = self.members.iter().enumerate().map(severity).collect();
        order.sort_by(|one, other| other.1.total_cmp(&one.1));
        let mut loss_left = self.members.len() as f32 / 3.0;
        for (index, outlier_score) in order {
            let weight = load(&self.members[index].weight);
            let target = if outlier_score > 1.0 {
                weight - WEIGHT_STEP
            } else {
                weight + WEIGHT_STEP
            };
            let bounded = target.clamp(0.0, 1.0).max(1.0 - loss_left);
            loss_left -= 1.0 - bounded;
            store(&self.members[index].weight, bounded);
        }
    }

    /// Factor by which an upstream with slowdown factor `factor` is slower than its pool.
    ///
    /// The result is 1 below [`RELEVANT_RATIO`] times the median, because under overload the whole
    /// pool is slower than expected and small differences are mostly noise.
    pub fn relative_slowdown(&self, factor: f32) -> f32 {
        let relative = factor / load(&self.median_factor).max(0.1);
        if relative < RELEVANT_RATIO {
            1.0
        } else {
            relative
        }
    }

    /// Weight of the upstream at position `member` of the pool, from 0 (ejected) to 1 (healthy).
    pub fn weight(&self, member: usize) -> f32 {
        self.members
            .get(member)
            .map_or(1.0, |state| load(&state.weight))
    }
}

impl Member {
    fn failures(&self, now: clock::Millis) -> f32 {
        let updated = clock::Millis(self.updated.load(atomic::Ordering::Relaxed));
        let age = (now - updated).0 as f32;
        load(&self.failures) * HALVING_AGE_MS / (HALVING_AGE_MS + age)
    }
}

fn median(values: impl Iterator<Item = f32>) -> f32 {
    let mut values: Vec<_> = values.collect();
    values.sort_by(f32::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(1.0)
}

fn load(cell: &atomic::AtomicU32) -> f32 {
    f32::from_bits(cell.load(atomic::Ordering::Relaxed))
}

fn store(cell: &atomic::AtomicU32, value: f32) {
    cell.store(value.to_bits(), atomic::Ordering::Relaxed);
}
