//! Whether a pool has unused capacity for requests above a customer's share.

use crate::candidate;

/// Ratio of load to capacity from which a pool counts as busy.
///
/// Below this ratio, requests above a customer's share are admitted. Load reports are about half a
/// second old, so some capacity is left for the requests that arrive in between.
const BUSY_RATIO: f32 = 0.8;

/// Whether customers are limited to their shares.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PoolPressure {
    /// The pool has unused capacity, so requests above a share are admitted.
    Spare,
    /// The pool is near its capacity, so customers are limited to their shares.
    Busy,
}

impl PoolPressure {
    /// Pressure on the pool that consists of `candidates`.
    pub fn of(candidates: &[candidate::Candidate]) -> Self {
        let (load, capacity) = candidates
            .iter()
            .fold((0.0, 0.0), |(load, capacity), upstream| {
                let calls = upstream.running + upstream.queued + upstream.sent;
                (
                    load + calls as f32 * upstream.weight,
                    capacity + upstream.capacity as f32 * upstream.weight,
                )
            });
        Self::from_load(load, capacity)
    }

    /// Pressure on a pool, from the total load and total capacity of its upstreams.
    pub fn from_load(load: f32, capacity: f32) -> Self {
        if load < BUSY_RATIO * capacity {
            Self::Spare
        } else {
            Self::Busy
        }
    }
}
