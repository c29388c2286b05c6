//! Entries of the VM list.

use std::net;

use basilgrade_types::id;

/// A VM that the platform lists as running a daemon.
///
/// The entry only tells where a daemon may be reached. It does not tell whether the daemon is
/// alive, because the list lags behind.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct VmHint {
    pub vm: id::VmId,
    /// Failure domain of the VM.
    pub domain: id::DomainId,
    /// Address at which other daemons reach the daemon.
    pub address: net::SocketAddr,
}
