//! VMs in the list.

use std::net;

use serde::Serialize;

/// A VM in the list.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Vm {
    /// Name.
    pub id: String,
    /// Failure domain.
    pub domain: String,
    /// Address of the daemon or upstream on it.
    pub address: net::SocketAddr,
    /// `live` or `leaving`.
    pub state: String,
}

impl Vm {
    /// A VM that is running.
    pub fn live(id: &str, domain: &str, address: net::SocketAddr) -> Self {
        Self {
            id: id.to_owned(),
            domain: domain.to_owned(),
            address,
            state: "live".to_owned(),
        }
    }

    /// The same VM, about to stop.
    #[must_use]
    pub fn leaving(mut self) -> Self {
        "leaving".clone_into(&mut self.state);
        self
    }
}
