//! HTTP client of the VM list.

use std::net;

use futures::FutureExt;
use futures::future;

use crate::error;
use crate::http::settings;
use crate::http::transport;
use crate::vm_list;

/// A client that fetches the VM list with `GET /vms`.
#[derive(Clone, Debug)]
pub struct HttpVmList {
    transport: transport::Transport,
}

impl HttpVmList {
    /// Creates a client of the VM list at `address`.
    pub fn new(address: net::SocketAddr, settings: settings::Settings) -> Self {
        Self {
            transport: transport::Transport::new(address, settings),
        }
    }
}

impl vm_list::VmList for HttpVmList {
    fn fetch(&self) -> future::BoxFuture<'_, Result<Vec<vm_list::VmEntry>, error::ReadError>> {
        self.transport.fetch("/vms").boxed()
    }
}
