//! HTTP connections to callers, upstreams and the store.

pub mod answer_memory;
pub mod body_reader;
pub mod caller_connection;
pub mod connection;
pub mod early_end;
pub mod error;
pub mod head_limit;
pub mod head_timeout;
pub mod pool;
pub mod request_memory;
pub mod single_call;
pub mod socket;
pub mod transfer;
