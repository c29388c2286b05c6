//! Load of a pool or model, summed over the upstreams of a domain.

use serde::Deserialize;
use serde::Serialize;

/// Load total of one pool in one domain.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LoadTotal {
    /// Requests running.
    pub running: u32,
    /// Requests queued.
    pub queued: u32,
    /// Requests that can run at the same time.
    pub capacity: u32,
}
