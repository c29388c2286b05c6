//! Observed state of one pool.

use basilgrade_policy::health::outliers;
use basilgrade_types::id;

use crate::view::atomic_f32;

/// Weight of one call in the moving averages of its pool.
const SMOOTHING_FACTOR: f32 = 0.05;

/// Assumed duration of a call without tokens before any was observed, in milliseconds.
const INITIAL_SERVICE_MS: f32 = 20.0;

/// Assumed time per generated token before any was observed, in milliseconds.
const INITIAL_DECODE_MS: f32 = 10.0;

/// Assumed time per uncached prompt token before any was observed, in milliseconds.
const INITIAL_PREFILL_MS: f32 = 0.2;

/// Moving averages and outlier detection of one pool.
#[derive(Debug)]
pub struct PoolState {
    /// Upstreams, ordered by their index in the pool.
    pub members: Vec<id::UpstreamId>,
    /// Outlier detection among the upstreams of the pool.
    pub outliers: outliers::Outliers,
    service_ms: atomic_f32::AtomicF32,
    decode_ms: atomic_f32::AtomicF32,
    prefill_ms: atomic_f32::AtomicF32,
}

impl PoolState {
    /// The state of a pool without observations.
    pub fn new(members: Vec<id::UpstreamId>) -> Self {
        Self {
            outliers: outliers::Outliers::new(members.len()),
            members,
            service_ms: atomic_f32::AtomicF32::new(INITIAL_SERVICE_MS),
            decode_ms: atomic_f32::AtomicF32::new(INITIAL_DECODE_MS),
            prefill_ms: atomic_f32::AtomicF32::new(INITIAL_PREFILL_MS),
        }
    }

    /// Average duration of a call without tokens, in milliseconds.
    pub fn service_ms(&self) -> f32 {
        self.service_ms.get()
    }

    /// Average time per generated token, in milliseconds.
    pub fn decode_ms(&self) -> f32 {
        self.decode_ms.get()
    }

    /// Average time per uncached prompt token, in milliseconds.
    pub fn prefill_ms(&self) -> f32 {
        self.prefill_ms.get()
    }

    /// Records the time to the first token of a prompt of which `uncached_tokens` were not cached.
    pub fn observe_prefill(&self, elapsed_ms: f32, uncached_tokens: u32) {
        if uncached_tokens > 0 {
            self.prefill_ms
                .smooth(elapsed_ms / uncached_tokens as f32, SMOOTHING_FACTOR);
        }
    }

    /// Expected duration of a call at average speed, in milliseconds; `tokens` is 0 for a call that
    /// is not a generation.
    pub fn expected_ms(&self, tokens: u64) -> f32 {
        if tokens == 0 {
            return self.service_ms().max(0.1);
        }
        (self.decode_ms() * tokens as f32).max(0.1)
    }

    /// Records the duration of a finished call; `tokens` is 0 for a call that is not a generation.
    pub fn observe_call(&self, elapsed_ms: f32, tokens: u64) {
        if tokens == 0 {
            self.service_ms.smooth(elapsed_ms, SMOOTHING_FACTOR);
        } else {
            self.decode_ms
                .smooth(elapsed_ms / tokens as f32, SMOOTHING_FACTOR);
        }
    }
}
