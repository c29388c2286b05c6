//! HTTP connections.

pub mod error;
pub mod link;
pub mod pool;
pub mod socket;
pub mod timed;
