//! Whom to pull log records from.

use std::net;

use basilgrade_types::id;

/// A stream whose records are pulled from peers.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Stream {
    /// Stream `config`.
    Config,
    /// Stream `control`.
    Control,
}

/// A peer that holds records which this daemon lacks.
///
/// The caller asks it for everything after what it holds. It then sets its new progress; if that
/// does not happen within `timing::PULL_TIMEOUT`, another peer is named.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Pull {
    /// The stream.
    pub stream: Stream,
    /// The peer.
    pub vm: id::VmId,
    /// Its address.
    pub address: net::SocketAddr,
    /// Revision or offset that this daemon holds.
    pub held: u64,
    /// Revision or offset that the peer holds at least.
    pub target: u64,
}
