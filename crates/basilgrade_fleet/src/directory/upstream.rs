//! One upstream.

use std::net;
use std::sync;

use basilgrade_types::clock;
use basilgrade_types::id;

use crate::health;

/// What an upstream says of itself, and what this daemon has seen of it.
#[derive(Clone, Debug)]
pub struct Upstream {
    /// Its id; another start mostly has another one.
    pub id: id::UpstreamId,
    /// Pool it belongs to.
    pub pool: id::PoolId,
    /// Where it listens.
    pub address: net::SocketAddr,
    /// Its failure domain.
    pub domain: id::DomainId,
    /// Requests that it works on at the same time.
    pub slots: u32,
    /// Whether it accepts new work.
    pub state: State,
    /// Unix time of its start, if it says so; tells runs under one id apart.
    pub started_at: Option<clock::Millis>,
    /// What this daemon has seen of it.
    pub stats: sync::Arc<health::Stats>,
}

impl Upstream {
    /// Whether `other` is the same run at the same place.
    pub fn is_same_run(&self, other: &Self) -> bool {
        self.address == other.address
            && self.started_at == other.started_at
            && self.pool == other.pool
    }
}

/// Whether an upstream accepts new work.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum State {
    /// It does.
    Ready,
    /// It finishes what it has and then leaves.
    Draining,
}
