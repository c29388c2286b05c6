//! HTTP connections to upstreams and to the store.

pub mod error;
pub mod link;
pub mod pool;
pub mod socket;
