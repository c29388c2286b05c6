//! Settings of a node.

use basilgrade_types::size;

use crate::record;

/// Who the node is and how much it may hold.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The daemon itself.
    pub record: record::Record,
    /// Encoded size of all items held; prefix hints, demand and load are evicted above it.
    ///
    /// In memory an item takes about six times its encoded size.
    pub memory: size::ByteCount,
}

impl Settings {
    /// Settings with the default memory limit of 4 MiB.
    pub const fn new(record: record::Record) -> Self {
        Self {
            record,
            memory: size::ByteCount(4 << 20),
        }
    }
}
