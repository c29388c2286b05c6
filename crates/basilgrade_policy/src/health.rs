//! Health weights of upstreams that refuse connections, fail calls or are slower than their peers.

pub mod connection;
pub mod outliers;
