//! The platform's list of VMs.

use std::net;

use basilgrade_types::id;
use futures::future;
use serde::Deserialize;
use serde::Serialize;

use crate::error;

/// What the list says of a VM.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum VmState {
    /// About to stop.
    Leaving,
    /// Running.
    Live,
}

/// A VM in the list. It runs a daemon of the system or an upstream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct VmEntry {
    /// Name of the VM; for an upstream's VM the name of the upstream.
    pub id: id::VmId,
    /// Failure domain it stands in.
    pub domain: id::DomainId,
    /// Peer address of a daemon, or address of an upstream.
    pub address: net::SocketAddr,
    /// State as listed; lags behind reality.
    pub state: VmState,
}

/// The list of live and leaving VMs.
pub trait VmList: Send + Sync {
    /// Fetches the list.
    fn fetch(&self) -> future::BoxFuture<'_, Result<Vec<VmEntry>, error::ReadError>>;
}
