//! Background tasks, which run independently of requests.

pub mod cache;
pub mod gossip;
pub mod health;
pub mod load;
pub mod placement;
pub mod reader;
pub mod vms;
