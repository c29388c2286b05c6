//! Upstreams.

use std::net;

use basilgrade_types::id;
use serde::Deserialize;
use serde::Serialize;

/// One upstream: an engine, a member of a stage pool or a service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Upstream {
    /// The name of the upstream.
    pub id: id::UpstreamId,
    /// The pool it belongs to.
    pub pool: id::PoolId,
    /// The failure domain it stands in.
    pub domain: id::DomainId,
    /// Where it listens.
    pub address: net::SocketAddr,
    /// Calls it can work on at once.
    pub capacity: u32,
}
