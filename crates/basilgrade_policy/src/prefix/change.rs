//! Changes of an upstream's prefix cache.

/// Change of one block, identified by its hash, as reported by a cache event of an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CacheChange {
    /// The block was added to the cache.
    Added(u64),
    /// The block was removed from the cache.
    Removed(u64),
}
