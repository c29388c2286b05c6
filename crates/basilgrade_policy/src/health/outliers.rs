//! Detection of upstreams that are slower or fail more often than their peers.

use std::sync::atomic;

use basilgrade_types::clock;

/// Change of a weight at each evaluation.
const STEP: f32 = 0.25;

/// Ratio to the median of the pool above which an upstream is too slow.
const SLOW: f32 = 3.0;

/// Ratio to the median of the pool from which an upstream counts as slower in the score.
///
/// Acting on smaller ratios moved a fifth of the traffic between regions under overload and gained
/// nothing.
pub const RELEVANT_RATIO: f32 = 1.5;

/// Share of failed calls, above that of the median, from which an upstream fails too often.
const FAILING: f32 = 0.3;

/// Share of a new observation in the average of failures.
const GAIN: f32 = 0.1;

/// Time in which the influence of old failures falls to half.
const FORGET: f32 = 5000.0;

/// What is known of one upstream.
#[derive(Debug)]
struct Member {
    /// Bits of the average share of failures.
    failures: atomic::AtomicU32,
    /// When it was last changed.
    changed: atomic::AtomicU64,
    /// Bits of the weight.
    weight: atomic::AtomicU32,
}

/// The upstreams of one pool, compared with one another.
///
/// Calls only update atomics; a background task calls [`Outliers::evaluate`] every second.
#[derive(Debug)]
pub struct Outliers {
    members: Vec<Member>,
    /// Bits of the median speed factor of the pool.
    typical: atomic::AtomicU32,
}

impl Outliers {
    /// A pool of `count` healthy upstreams.
    pub fn new(count: usize) -> Self {
        let member = || Member {
            failures: atomic::AtomicU32::new(0.0f32.to_bits()),
            changed: atomic::AtomicU64::new(0),
            weight: atomic::AtomicU32::new(1.0f32.to_bits()),
        };
        Self {
            members: (0..count).map(|_| member()).collect(),
            typical: atomic::AtomicU32::new(1.0f32.to_bits()),
        }
    }

    /// Records whether a call to upstream `member` of the pool failed.
    pub fn observe(&self, now: clock::Millis, member: usize, failed: bool) {
        let Some(found) = self.members.get(member) else {
            return;
        };
        let sample = if failed { 1.0 } else { 0.0 };
        let average = found.failures(now);
        store(&found.failures, average + GAIN * (sample - average));
        found.changed.store(now.0, atomic::Ordering::Relaxed);
    }

    /// Moves every weight one step, given the speed factor of each upstream.
    ///
    /// An upstream that is an outlier loses a quarter, any other gains a quarter. All together
    /// lose at most a third of the pool, the worst first: more cannot be outliers, and the rest
    /// could not carry the load.
    pub fn evaluate(&self, now: clock::Millis, factors: &[f32]) {
        let median_factor = median(factors.iter().copied());
        store(&self.typical, median_factor);
        let median_failures = median(self.members.iter().map(|member| member.failures(now)));
        let badness = |(index, member): (usize, &Member)| {
            let factor = factors.get(index).copied().unwrap_or(1.0);
            let slow = factor / (SLOW * median_factor.max(0.1));
            let failing = (member.failures(now) - median_failures) / FAILING;
            (index, slow.max(failing))
        };
        let mut order: Vec<_> = self.members.iter().enumerate().map(badness).collect();
        order.sort_by(|one, other| other.1.total_cmp(&one.1));
        let mut left = self.members.len() as f32 / 3.0;
        for (index, bad) in order {
            let weight = load(&self.members[index].weight);
            let wanted = if bad > 1.0 {
                weight - STEP
            } else {
                weight + STEP
            };
            let allowed = wanted.clamp(0.0, 1.0).max(1.0 - left);
            left -= 1.0 - allowed;
            store(&self.members[index].weight, allowed);
        }
    }

    /// Factor by which an upstream with speed factor `factor` is slower than its pool.
    ///
    /// It is 1 up to [`RELEVANT_RATIO`] times the median: under overload the whole pool is slower than
    /// expected, and small differences are mostly noise.
    pub fn relative_slowdown(&self, factor: f32) -> f32 {
        let relative = factor / load(&self.typical).max(0.1);
        if relative < RELEVANT_RATIO {
            1.0
        } else {
            relative
        }
    }

    /// Weight of upstream `member` from 0 (ejected) to 1 (healthy).
    pub fn weight(&self, member: usize) -> f32 {
        self.members
            .get(member)
            .map_or(1.0, |found| load(&found.weight))
    }
}

impl Member {
    fn failures(&self, now: clock::Millis) -> f32 {
        let changed = clock::Millis(self.changed.load(atomic::Ordering::Relaxed));
        let age = (now - changed).0 as f32;
        load(&self.failures) * FORGET / (FORGET + age)
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
