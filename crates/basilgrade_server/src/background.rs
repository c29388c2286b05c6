//! Tasks beside the path of requests.

pub mod gossip;
pub mod load;
pub mod placement;
pub mod reader;
pub mod vms;
