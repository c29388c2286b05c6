//! Duties that daemons perform for the jobs of other daemons.

use basilgrade_types::id;
use serde::Deserialize;
use serde::Serialize;

/// Duty for one pool in one failure domain, performed by one daemon at a time.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Duty {
    pub pool: id::PoolId,
    /// What the daemon does for the pool.
    pub scope: Scope,
}

/// What a daemon does for a pool.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum Scope {
    /// Keeps the queue of the pool's upstreams in this failure domain.
    Queue(id::DomainId),
    /// Chooses the queues for jobs of the daemons in this failure domain.
    Route(id::DomainId),
}

impl Scope {
    /// Failure domain of the duty; a daemon in it is preferred.
    pub const fn domain(&self) -> &id::DomainId {
        match self {
            Self::Queue(domain) | Self::Route(domain) => domain,
        }
    }
}
