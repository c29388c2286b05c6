//! Model of the deployment, and the decisions that a daemon takes about requests: admission,
//! placement, batching and retries.
//!
//! The package does no I/O: time, views of the deployment and random numbers are arguments.

pub mod admission;
pub mod balance;
pub mod batch;
pub mod brittleness;
pub mod budget;
pub mod check;
pub mod closing;
pub mod daemon;
pub mod directory;
pub mod events;
pub mod health;
pub mod keepers;
pub mod limit;
pub mod memory;
pub mod model;
pub mod news_pace;
pub mod notices;
pub mod outage;
pub mod pace;
pub mod paths;
pub mod placement;
pub mod ranking;
pub mod route_history;
pub mod streams;
pub mod suspects;
