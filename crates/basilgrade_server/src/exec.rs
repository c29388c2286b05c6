//! Execution of requests: pipeline stages, service calls, attempts, hedging and claims.

pub mod active;
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
