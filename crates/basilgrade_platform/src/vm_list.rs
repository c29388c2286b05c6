//! Interface of the VM list of the platform.

use std::net;

use basilgrade_types::id;
use futures::future;
use serde::Deserialize;
use serde::Serialize;

use crate::error;

/// State of a VM according to the VM list.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum VmState {
    /// The VM is about to stop.
    Leaving,
    /// The VM is running.
    Live,
}

/// An entry of the VM list. The VM runs either a daemon or an upstream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct VmEntry {
    /// Name of the VM; for the VM of an upstream, the name of the upstream.
    pub id: id::VmId,
    /// Failure domain of the VM.
    pub domain: id::DomainId,
    /// Peer address of the daemon, or address of the upstream.
    pub address: net::SocketAddr,
    /// State of the VM when the list was updated, which may be out of date.
    pub state: VmState,
}

/// Access to the list of live and leaving VMs.
pub trait VmList: Send + Sync {
    /// Fetches all entries of the VM list.
    fn fetch(&self) -> future::BoxFuture<'_, Result<Vec<VmEntry>, error::ReadError>>;
}
