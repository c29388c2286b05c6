//! Whether the upstreams of a pool have room for requests above a customer's share.

use crate::candidate;

/// Load per capacity from which a pool counts as busy.
///
/// Below it, requests above the share are let through. Reports are about half a second old, so
/// some room has to be left for the requests that come meanwhile.
const BUSY: f32 = 0.8;

/// Whether a request above its customer's share may run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PoolPressure {
    /// There is unused capacity.
    Spare,
    /// Customers are held to their shares.
    Busy,
}

impl PoolPressure {
    /// Judges a pool by its candidates.
    pub fn of(candidates: &[candidate::Candidate]) -> Self {
        let (load, capacity) = candidates
            .iter()
            .fold((0.0, 0.0), |(load, capacity), found| {
                let own = found.running + found.queued + found.sent;
                (
                    load + own as f32 * found.weight,
                    capacity + found.capacity as f32 * found.weight,
                )
            });
        Self::from_load(load, capacity)
    }

    /// Judges a pool by its sums.
    pub fn from_load(load: f32, capacity: f32) -> Self {
        if load < BUSY * capacity {
            Self::Spare
        } else {
            Self::Busy
        }
    }
}
