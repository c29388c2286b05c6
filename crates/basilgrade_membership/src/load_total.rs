//! Load of a pool, summed over the upstreams of a domain.

use serde::Deserialize;
use serde::Serialize;

/// Load of a pool, summed over its upstreams in one domain.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LoadTotal {
    /// Requests being processed.
    pub running: u32,
    /// Requests waiting in queues.
    pub queued: u32,
    /// Maximum number of requests that can be processed at the same time.
    pub capacity: u32,
}
