//! Decayed quantiles of the time of one stage.

use std::sync::atomic;

use basilgrade_types::clock;

/// Buckets; the last begins at about 55 s, longer than any deadline.
const BUCKETS: usize = 64;

/// Buckets per doubling of time; a bucket is 19% wide.
const STEPS: f32 = 4.0;

/// Weight of a new observation; halved with every half-life, so it has to be a power of two.
const UNIT: u32 = 256;

/// Time in which the weight of an observation halves.
///
/// A stage that turns slow has to dominate the quantiles well before a deadline of 10 s.
const HALF_LIFE: clock::Millis = clock::Millis(4000);

/// Weight below which nothing is known.
const LEAST: u32 = 4 * UNIT;

/// Three quantiles of stage time, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Summary {
    /// The 0.5 quantile.
    pub median: f32,
    /// The 0.9 quantile.
    pub p90: f32,
    /// The 0.95 quantile.
    pub p95: f32,
}

/// A histogram of stage time with geometric buckets, in which old observations lose weight.
///
/// Observations only add to atomics, so it can be shared by all requests of a daemon.
#[derive(Debug)]
pub struct TimeQuantiles {
    counts: [atomic::AtomicU32; BUCKETS],
    /// When the counts were last halved.
    halved: atomic::AtomicU64,
}

impl Default for TimeQuantiles {
    fn default() -> Self {
        Self {
            counts: [const { atomic::AtomicU32::new(0) }; BUCKETS],
            halved: atomic::AtomicU64::new(0),
        }
    }
}

impl TimeQuantiles {
    /// Records one observed time in milliseconds.
    pub fn observe(&self, now: clock::Millis, time: f32) {
        self.decay(now);
        let bucket = ((1.0 + time.max(0.0)).log2() * STEPS) as usize;
        self.counts[bucket.min(BUCKETS - 1)].fetch_add(UNIT, atomic::Ordering::Relaxed);
    }

    /// The quantiles, or `None` while too little is known.
    pub fn summary(&self, now: clock::Millis) -> Option<Summary> {
        self.decay(now);
        let counts = self
            .counts
            .each_ref()
            .map(|count| count.load(atomic::Ordering::Relaxed));
        let total: u32 = counts
            .iter()
            .fold(0, |sum, count| sum.saturating_add(*count));
        if total < LEAST {
            return None;
        }
        Some(Summary {
            median: quantile(&counts, total, 0.5),
            p90: quantile(&counts, total, 0.9),
            p95: quantile(&counts, total, 0.95),
        })
    }

    fn decay(&self, now: clock::Millis) {
        let halved = self.halved.load(atomic::Ordering::Relaxed);
        let steps = (now - clock::Millis(halved)).0 / HALF_LIFE.0;
        if steps == 0 {
            return;
        }
        let next = halved + steps * HALF_LIFE.0;
        // Only the thread that advances the instant halves the counts.
        let won = self
            .halved
            .compare_exchange(
                halved,
                next,
                atomic::Ordering::Relaxed,
                atomic::Ordering::Relaxed,
            )
            .is_ok();
        if !won {
            return;
        }
        let shift = steps.min(31) as u32;
        for count in &self.counts {
            let dropped = count.load(atomic::Ordering::Relaxed);
            // Subtraction keeps an observation that another thread adds meanwhile.
            count.fetch_sub(dropped - (dropped >> shift), atomic::Ordering::Relaxed);
        }
    }
}

/// The upper edge of the bucket in which the quantile lies, interpolated by weight.
fn quantile(counts: &[u32; BUCKETS], total: u32, level: f32) -> f32 {
    let wanted = total as f32 * level;
    let mut below = 0.0;
    for (bucket, count) in counts.iter().enumerate() {
        let count = *count as f32;
        if below + count >= wanted && count > 0.0 {
            let inside = (wanted - below) / count;
            return ((bucket as f32 + inside) / STEPS).exp2() - 1.0;
        }
        below += count;
    }
    (BUCKETS as f32 / STEPS).exp2()
}
