//! An entry of the VM list.

use std::net;

use basilgrade_types::id;

/// A daemon's VM as the platform lists it.
///
/// It tells where a daemon may be found, and nothing of its state: the list lags behind.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct VmHint {
    /// Name of the VM.
    pub vm: id::VmId,
    /// Its failure domain.
    pub domain: id::DomainId,
    /// Address for other daemons.
    pub address: net::SocketAddr,
}
