//! Calls between daemons.

pub mod links;
pub mod rpc;
pub mod rpc_server;
pub mod sync;
