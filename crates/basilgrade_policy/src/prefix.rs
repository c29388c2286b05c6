//! Prediction of which upstreams have a prompt's prefix in their cache.

pub mod blocks;
pub mod change;
pub mod index;
pub mod preferred;
pub mod prefix_hits;
pub mod transfer;
