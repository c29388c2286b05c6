//! Calls between daemons.

pub mod links;
pub mod server;
pub mod service;
pub mod sync;
