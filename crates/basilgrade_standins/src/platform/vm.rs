//! Entries of the VM list.

use std::net;

use serde::Serialize;

/// An entry of the VM list.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Vm {
    /// Name of the VM.
    pub id: String,
    /// Failure domain of the VM.
    pub domain: String,
    /// Address of the daemon or upstream on the VM.
    pub address: net::SocketAddr,
    /// State of the VM: `live` or `leaving`.
    pub state: String,
}

impl Vm {
    /// Creates an entry for a running VM.
    pub fn live(id: &str, domain: &str, address: net::SocketAddr) -> Self {
        Self {
            id: id.to_owned(),
            domain: domain.to_owned(),
            address,
            state: "live".to_owned(),
        }
    }

    /// Marks the VM as about to stop.
    #[must_use]
    pub fn leaving(mut self) -> Self {
        "leaving".clone_into(&mut self.state);
        self
    }
}
