//! Changes of a prefix cache.

/// What an upstream's cache event says of one block.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CacheChange {
    /// The block is cached now.
    Added(u64),
    /// The block is no longer cached.
    Removed(u64),
}
