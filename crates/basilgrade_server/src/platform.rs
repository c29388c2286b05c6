//! The platform as one daemon uses it.

use std::sync;

use basilgrade_platform::log_service;
use basilgrade_platform::vm_list;

/// Access to the platform.
#[derive(Clone)]
pub struct Platform {
    /// The log service.
    pub log: sync::Arc<dyn log_service::LogService>,
    /// The VM list.
    pub vms: sync::Arc<dyn vm_list::VmList>,
}
