//! One upstream of the configuration in force.

use std::net;
use std::sync;
use std::sync::atomic;

use basilgrade_policy::candidate;
use basilgrade_types::clock;
use basilgrade_types::id;
use basilgrade_upstream::call_error;

use crate::view::pool;
use crate::view::stats;

/// An upstream with its declared properties and its observed state.
#[derive(Clone, Debug)]
pub struct Entry {
    /// Name of the upstream.
    pub id: id::UpstreamId,
    /// Pool of the upstream.
    pub pool: id::PoolId,
    /// Where it listens.
    pub address: net::SocketAddr,
    /// Position of its region.
    pub region: u16,
    /// Calls it can work on at once.
    pub capacity: u32,
    /// Price of one call, in millionths of the currency.
    pub price: f32,
    /// Position in its pool.
    pub pool_index: usize,
    /// Observed state.
    pub stats: sync::Arc<stats::Stats>,
    /// Observed state of its pool.
    pub pool_state: sync::Arc<pool::PoolState>,
}

impl Entry {
    /// What the router sees of this upstream at `now`.
    ///
    /// An upstream that never reported its load is known by own calls alone, which are never old.
    pub fn candidate(&self, index: u32, now: clock::Millis) -> candidate::Candidate {
        let load = |counter: &atomic::AtomicU32| counter.load(atomic::Ordering::Relaxed);
        let stats = &self.stats;
        let reported = match stats.reported_at.load(atomic::Ordering::Relaxed) {
            0 => now,
            at => clock::Millis(at),
        };
        let outliers = &self.pool_state.outliers;
        let factor = outliers.relative_slowdown(stats.speed.factor(now));
        let weight = stats
            .connection
            .weight(now)
            .min(outliers.weight(self.pool_index));
        candidate::Candidate {
            index,
            region: self.region,
            capacity: self.capacity,
            running: load(&stats.running),
            queued: load(&stats.queued),
            reported,
            sent: load(&stats.sent),
            inflight: load(&stats.inflight),
            limit: u32::MAX,
            service_time: self.pool_state.service_ms() * factor,
            prefill: self.pool_state.prefill_ms() * factor,
            decode: self.pool_state.decode_ms() * factor,
            cached_tokens: 0,
            weight,
            price: self.price,
        }
    }

    /// Records a call that was answered after `elapsed`.
    pub fn record_success(&self, now: clock::Millis, elapsed: clock::Millis, tokens: u64) {
        let expected = self.pool_state.expected_ms(tokens);
        let elapsed = elapsed.as_f64() as f32;
        self.stats.speed.observe(now, expected, elapsed);
        self.stats.connection.answered();
        self.pool_state.observe_call(elapsed, tokens);
        self.pool_state
            .outliers
            .observe(now, self.pool_index, false);
    }

    /// Records a call that failed.
    pub fn record_failure(&self, now: clock::Millis, error: &call_error::CallError) {
        match error {
            call_error::CallError::Connect(..) => {
                self.stats.connection.refused(now, &mut rand::rng());
            }
            // A refusal is an answer, and how the upstream sheds load.
            call_error::CallError::Refused(..) => self.stats.connection.answered(),
            _ => self.pool_state.outliers.observe(now, self.pool_index, true),
        }
    }
}
