//! The HTTP interface towards callers.

pub mod body;
pub mod failure;
pub mod head;
pub mod respond;
pub mod target;
