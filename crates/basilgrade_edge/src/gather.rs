//! Making of stage pieces: here for all daemons, or at the daemon that gathers them.

pub mod client;
pub mod gatherer;
pub mod gatherers;
pub mod releases;
pub mod remote;
pub mod router;
