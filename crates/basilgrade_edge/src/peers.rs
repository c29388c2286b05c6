//! Remote procedure calls between daemons.

pub mod links;
pub mod packing;
pub mod rpc_server;
pub mod service;
pub mod stream_copies;
pub mod sync;
