//! Access to the platform: log service, VM list and weight store.

pub mod error;
pub mod http;
pub mod log_service;
pub mod long_read;
pub mod retry;
pub mod vm_list;
pub mod weight_store;
