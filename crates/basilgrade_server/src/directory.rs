//! Where other daemons are reached.

use std::net;

use basilgrade_types::id;

/// Knows the addresses of daemons.
pub trait Directory: Send + Sync {
    /// The address for other daemons of `vm`, if it is known.
    fn address(&self, vm: &id::VmId) -> Option<net::SocketAddr>;
}
