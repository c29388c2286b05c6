//! Daemons as separate processes in front of stand-ins.

#![allow(dead_code, reason = "each test uses a part")]

pub(crate) mod daemon;
pub(crate) mod deployment;
pub(crate) mod history;
pub(crate) mod operator;
pub(crate) mod port;
