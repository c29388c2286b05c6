//! Which upstreams are expected to have a prompt's prefix in their cache.

pub mod block_hashes;
pub mod cache_change;
pub mod preferred_upstream;
pub mod prefix_hits;
pub mod prefix_index;
pub mod prefix_transfer;
