//! HTTP interface for callers.

pub mod body;
pub mod failure;
pub mod head;
pub mod respond;
pub mod target;
