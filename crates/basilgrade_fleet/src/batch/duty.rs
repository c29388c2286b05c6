//! What a daemon does for the jobs of others.

use basilgrade_types::id;
use serde::Deserialize;
use serde::Serialize;

/// A part in the making of a pool's pieces.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Duty {
    /// The pool.
    pub pool: id::PoolId,
    /// What is done for it.
    pub scope: Scope,
}

/// What is done for a pool.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum Scope {
    /// Keeping the queue of the upstreams in one failure domain.
    Queue(id::DomainId),
    /// Choosing the queue for jobs of daemons in one failure domain.
    Route(id::DomainId),
}

impl Scope {
    /// The failure domain in which a daemon should stand that takes the duty.
    pub const fn domain(&self) -> &id::DomainId {
        match self {
            Self::Queue(domain) | Self::Route(domain) => domain,
        }
    }
}
