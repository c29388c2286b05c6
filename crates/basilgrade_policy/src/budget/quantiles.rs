//! Quantiles of the time of one stage, in which old observations lose weight.

use std::sync::atomic;

use basilgrade_types::clock;

/// Number of buckets. The last one starts at about 55 s, which is longer than any deadline.
const BUCKETS: usize = 64;

/// Buckets per doubling of the time, which makes each bucket 19% wide.
const BUCKETS_PER_DOUBLING: f32 = 4.0;

/// Weight of a new observation. It is a power of two, so that it can be halved repeatedly.
const OBSERVATION_WEIGHT: u32 = 256;

/// Time after which an observation has half its weight.
///
/// When a stage becomes slow, the new times have to dominate the quantiles well within a deadline
/// of 10 s.
const HALF_LIFE: clock::Millis = clock::Millis(4000);

/// Total weight below which there are too few observations for quantiles.
const MIN_WEIGHT: u32 = 4 * OBSERVATION_WEIGHT;

/// Three quantiles of the stage time, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Summary {
    /// The 0.5 quantile.
    pub median: f32,
    /// The 0.9 quantile.
    pub p90: f32,
    /// The 0.95 quantile.
    pub p95: f32,
}

/// A histogram of stage times with geometric buckets, in which old observations lose weight.
///
/// Recording an observation only updates atomics, so all requests of a daemon can share one
/// histogram.
#[derive(Debug)]
pub struct TimeQuantiles {
    counts: [atomic::AtomicU32; BUCKETS],
    /// Time of the last halving of the counts, in milliseconds.
    halved_at: atomic::AtomicU64,
}

impl Default for TimeQuantiles {
    fn default() -> Self {
        Self {
            counts: [const { atomic::AtomicU32::new(0) }; BUCKETS],
            halved_at: atomic::AtomicU64::new(0),
        }
    }
}

impl TimeQuantiles {
    /// Records one observed time in milliseconds.
    pub fn observe(&self, now: clock::Millis, time: f32) {
        self.decay(now);
        let bucket = ((1.0 + time.max(0.0)).log2() * BUCKETS_PER_DOUBLING) as usize;
        self.counts[bucket.min(BUCKETS - 1)]
            .fetch_add(OBSERVATION_WEIGHT, atomic::Ordering::Relaxed);
    }

    /// Quantiles of the observed times, or `None` without enough observations.
    pub fn summary(&self, now: clock::Millis) -> Option<Summary> {
        self.decay(now);
        let counts = self
            .counts
            .each_ref()
            .map(|count| count.load(atomic::Ordering::Relaxed));
        let total: u32 = counts
            .iter()
            .fold(0, |sum, count| sum.saturating_add(*count));
        if total < MIN_WEIGHT {
            return None;
        }
        Some(Summary {
            median: quantile(&counts, total, 0.5),
            p90: quantile(&counts, total, 0.9),
            p95: quantile(&counts, total, 0.95),
        })
    }

    fn decay(&self, now: clock::Millis) {
        let halved_at = self.halved_at.load(atomic::Ordering::Relaxed);
        let half_lives = (now - clock::Millis(halved_at)).0 / HALF_LIFE.0;
        if half_lives == 0 {
            return;
        }
        let next = halved_at + half_lives * HALF_LIFE.0;
        // Only the thread that advances the time of the last halving also halves the counts.
        let advanced = self
            .halved_at
            .compare_exchange(
                halved_at,
                next,
                atomic::Ordering::Relaxed,
                atomic::Ordering::Relaxed,
            )
            .is_ok();
        if !advanced {
            return;
        }
        let shift = half_lives.min(31) as u32;
        for count in &self.counts {
            let weight = count.load(atomic::Ordering::Relaxed);
            // Subtracting, unlike storing, keeps an observation that another thread adds in the
            // meantime.
            count.fetch_sub(weight - (weight >> shift), atomic::Ordering::Relaxed);
        }
    }
}

/// Interpolates the quantile `level` within its bucket, by weight, and returns a time in
/// milliseconds.
fn quantile(counts: &[u32; BUCKETS], total: u32, level: f32) -> f32 {
    let target = total as f32 * level;
    let mut below = 0.0;
    for (bucket, count) in counts.iter().enumerate() {
        let count = *count as f32;
        if below + count >= target && count > 0.0 {
            let inside = (target - below) / count;
            return ((bucket as f32 + inside) / BUCKETS_PER_DOUBLING).exp2() - 1.0;
        }
        below += count;
    }
    (BUCKETS as f32 / BUCKETS_PER_DOUBLING).exp2()
}
