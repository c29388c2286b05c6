//! Pulls of log records from peers.

use std::net;

use basilgrade_types::id;

/// A log stream whose records can be pulled from peers.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Stream {
    Config,
    Control,
}

/// A pull that the caller should perform: log records that a peer holds and this daemon lacks.
///
/// The caller requests all records after `held` from the peer and then calls `Node::set_progress`.
/// If the progress does not change within `timing::PULL_TIMEOUT`, the pull is repeated from a peer
/// chosen at random.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Pull {
    pub stream: Stream,
    /// VM of the peer.
    pub vm: id::VmId,
    /// Address of the peer.
    pub address: net::SocketAddr,
    /// Revision or offset that this daemon holds.
    pub held: u64,
    /// Revision or offset that the peer has announced.
    pub target: u64,
}
