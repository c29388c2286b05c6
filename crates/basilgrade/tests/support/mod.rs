//! Runs daemons as separate processes in front of stand-ins for the platform and the upstreams.

#![allow(dead_code, reason = "each test target uses only some of the helpers")]

pub(crate) mod daemon;
pub(crate) mod deployment;
pub(crate) mod history;
pub(crate) mod operator;
pub(crate) mod port;
