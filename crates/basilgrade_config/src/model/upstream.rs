//! Upstream servers.

use std::net;

use basilgrade_types::id;
use serde::Deserialize;
use serde::Serialize;

/// An upstream server: one member of a pool.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Upstream {
    pub id: id::UpstreamId,
    /// The pool that the upstream belongs to.
    pub pool: id::PoolId,
    /// The failure domain that the upstream runs in.
    pub domain: id::DomainId,
    /// The IP address and port that the upstream listens on.
    pub address: net::SocketAddr,
    /// The number of calls that the upstream can process concurrently.
    pub capacity: u32,
}
