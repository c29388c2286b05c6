//! Observed state of one pool.

use basilgrade_policy::health::outliers;
use basilgrade_types::id;

use crate::view::gauge;

/// How much one call moves the averages of its pool.
const AVERAGE_SHARE: f32 = 0.05;

/// Time of a call without tokens before any was observed, in milliseconds.
const FIRST_SERVICE: f32 = 20.0;

/// Time per token before any was observed, in milliseconds.
const FIRST_DECODE: f32 = 10.0;

/// Time per prompt token that is not cached before any was observed, in milliseconds.
const FIRST_PREFILL: f32 = 0.2;

/// Averages and outliers of one pool.
#[derive(Debug)]
pub struct Pool {
    /// Upstreams in order of their position in the pool.
    pub members: Vec<id::UpstreamId>,
    /// Outliers among them.
    pub outliers: outliers::Outliers,
    service: gauge::Gauge,
    decode: gauge::Gauge,
    prefill: gauge::Gauge,
}

impl Pool {
    /// A pool that nothing is known of.
    pub fn new(members: Vec<id::UpstreamId>) -> Self {
        Self {
            outliers: outliers::Outliers::new(members.len()),
            members,
            service: gauge::Gauge::new(FIRST_SERVICE),
            decode: gauge::Gauge::new(FIRST_DECODE),
            prefill: gauge::Gauge::new(FIRST_PREFILL),
        }
    }

    /// Time of a call without tokens, in milliseconds.
    pub fn service(&self) -> f32 {
        self.service.get()
    }

    /// Time per token, in milliseconds.
    pub fn decode(&self) -> f32 {
        self.decode.get()
    }

    /// Time per prompt token that is not cached, in milliseconds.
    pub fn prefill(&self) -> f32 {
        self.prefill.get()
    }

    /// Records the time until the first token of a prompt with `fresh` tokens that were not cached.
    pub fn observe_first(&self, spent: f32, fresh: u32) {
        if fresh > 0 {
            self.prefill.average(spent / fresh as f32, AVERAGE_SHARE);
        }
    }

    /// Expected time of a call at average speed, in milliseconds.
    pub fn expected(&self, tokens: u64) -> f32 {
        if tokens == 0 {
            return self.service().max(0.1);
        }
        (self.decode() * tokens as f32).max(0.1)
    }

    /// Records a finished call.
    pub fn observe(&self, spent: f32, tokens: u64) {
        if tokens == 0 {
            self.service.average(spent, AVERAGE_SHARE);
        } else {
            self.decode.average(spent / tokens as f32, AVERAGE_SHARE);
        }
    }
}
