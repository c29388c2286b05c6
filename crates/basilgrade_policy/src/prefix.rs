//! Which upstreams are expected to have a prompt's prefix in their cache.

pub mod blocks;
pub mod change;
pub mod hits;
pub mod index;
pub mod preferred;
pub mod transfer;
