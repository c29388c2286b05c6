//! HTTP connections to callers, upstreams and the store.

pub mod answer_memory;
pub mod connection;
pub mod error;
pub mod head_timeout;
pub mod pool;
pub mod single_call;
pub mod socket;
