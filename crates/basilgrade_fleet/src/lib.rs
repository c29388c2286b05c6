//! Deployment model of an entry VM and the decisions it takes: admission, placement and batching.
//!
//! The package does no I/O: time, views of the deployment and random numbers are arguments.

pub mod admission;
pub mod batch;
pub mod budget;
pub mod daemon;
pub mod directory;
pub mod events;
pub mod health;
pub mod model;
pub mod placement;
pub mod ranking;
