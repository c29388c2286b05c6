//! Implementations of the basilctl commands.

pub(crate) mod check;
mod check_platform;
pub(crate) mod diff;
pub(crate) mod drain;
pub(crate) mod explain;
pub(crate) mod log_level;
pub(crate) mod publish;
pub(crate) mod show;
pub(crate) mod status;

mod config_file;
mod daemon_client;
mod platform_log;
