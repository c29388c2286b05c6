//! What an entry VM knows of its deployment, and what it decides from that.
//!
//! Nothing here does I/O: time, views and random numbers are arguments.

pub mod admission;
pub mod batch;
pub mod budget;
pub mod daemon;
pub mod directory;
pub mod event_splitter;
pub mod health;
pub mod model;
pub mod placement;
pub mod ranking;
