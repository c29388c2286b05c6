//! Calls to engines, stage pools and services, with a verdict on every error.

pub mod call;
pub mod call_error;
pub mod client;
pub mod load;
pub mod order;
pub mod reply;
pub mod token;
pub mod upstream;
