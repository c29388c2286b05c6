//! Execution of requests: stages, services, attempts and claims.

pub mod active_request;
pub mod attempts;
pub mod budget;
pub mod claimed;
pub mod context;
pub mod generation;
pub mod hedged;
pub mod inflight_call;
pub mod output;
pub mod pipeline;
pub mod service;
pub mod step;
