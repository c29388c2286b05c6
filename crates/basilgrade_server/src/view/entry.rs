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
    pub id: id::UpstreamId,
    pub pool: id::PoolId,
    /// Address that the upstream listens on.
    pub address: net::SocketAddr,
    /// Index of the upstream's region in the snapshot.
    pub region: u16,
    /// Maximum number of calls that the upstream works on at once.
    pub capacity: u32,
    /// Price of one call, in millionths of the currency.
    pub price: f32,
    /// Index of the upstream in its pool.
    pub pool_index: usize,
    /// Observed state of this upstream.
    pub stats: sync::Arc<stats::Stats>,
    /// Observed state of the pool, shared by its upstreams.
    pub pool_state: sync::Arc<pool::PoolState>,
}

impl Entry {
    /// The state of this upstream at `now`, as input for the router.
    ///
    /// The load of an upstream that never sent a load report is known only from this daemon's own
    /// calls, which are always up to date.
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

    /// Records a successful call that took `elapsed` and generated `tokens`.
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

    /// Records a failed call.
    pub fn record_failure(&self, now: clock::Millis, error: &call_error::CallError) {
        match error {
            call_error::CallError::Connect(..) => {
                self.stats.connection.refused(now, &mut rand::rng());
            }
            // A refusal is how an overloaded upstream sheds load, so it does not count as a
            // failure.
            call_error::CallError::Refused(..) => self.stats.connection.answered(),
            _ => self.pool_state.outliers.observe(now, self.pool_index, true),
        }
    }
}
