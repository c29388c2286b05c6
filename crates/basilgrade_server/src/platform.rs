//! Clients for the services of the platform.

use std::net;
use std::sync;

use basilgrade_platform::http;
use basilgrade_platform::log_service;
use basilgrade_platform::vm_list;
use basilgrade_platform::weight_store;

/// Clients for the log service, the VM list and the weight store; clones share the clients.
#[derive(Clone)]
pub struct Platform {
    /// The log service.
    pub log: sync::Arc<dyn log_service::LogService>,
    /// The VM list.
    pub vms: sync::Arc<dyn vm_list::VmList>,
    /// The weight store.
    pub weights: sync::Arc<dyn weight_store::WeightStore>,
}

impl Platform {
    /// Creates clients for the platform whose HTTP interface listens on `address`.
    pub fn http(address: net::SocketAddr) -> Self {
        let settings = http::Settings::default();
        Self {
            log: sync::Arc::new(http::HttpLog::new(address, settings.clone())),
            vms: sync::Arc::new(http::HttpVmList::new(address, settings.clone())),
            weights: sync::Arc::new(http::HttpWeightStore::new(address, settings)),
        }
    }
}
