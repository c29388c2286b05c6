//! Weights of upstreams that refuse, fail or are slower than their peers.

pub mod connection_health;
pub mod outliers;
