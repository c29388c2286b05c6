//! Making of stage pieces: here for all daemons, or at the daemon that gathers them.

pub mod duty_client;
pub mod gatherer;
pub mod gatherers;
pub mod job_client;
pub mod job_router;
pub mod result_releases;
