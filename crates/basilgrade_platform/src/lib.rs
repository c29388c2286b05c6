//! Interfaces and HTTP clients of the platform: log service, VM list and weight store.

pub mod error;
pub mod http;
pub mod log_service;
pub mod retry;
pub mod stream_reader;
pub mod vm_list;
pub mod weight_store;
