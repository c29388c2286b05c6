//! A stand-in of the users' platform in small, and daemons in front of it.
#![allow(dead_code, reason = "each test file uses its own part")]

pub(crate) mod client;
pub(crate) mod daemon;
pub(crate) mod deployment;
#[path = "../support/port.rs"]
pub(crate) mod port;
pub(crate) mod server;
pub(crate) mod store;
pub(crate) mod upstream;
