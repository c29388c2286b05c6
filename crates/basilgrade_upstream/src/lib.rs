//! Calls to engines, stage pools and services, with a verdict on whether a failed call has run.

pub mod call;
pub mod call_error;
pub mod client;
pub mod load;
pub mod order;
pub mod reply;
pub mod token;
pub mod upstream;
