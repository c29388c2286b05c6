//! Computation of stage pieces: the pieces of all daemons' requests are gathered in queues, one per
//! pool and failure domain, and sent to upstreams in batches.

pub mod client;
pub mod duty_client;
mod gather_calls;
pub mod gatherer;
pub mod gatherers;
pub mod job_router;
pub mod result_releases;
