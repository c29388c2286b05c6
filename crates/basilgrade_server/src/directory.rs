//! Lookup of the addresses of other daemons.

use std::net;

use basilgrade_types::id;

/// Looks up the addresses of daemons by VM.
pub trait Directory: Send + Sync {
    /// The peer address of the daemon on `vm`, if known.
    fn address(&self, vm: &id::VmId) -> Option<net::SocketAddr>;
}
