//! Settings of a node.

use basilgrade_types::size;

use crate::node_record;

/// Who the node is and how much it may hold.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The daemon itself.
    pub record: node_record::NodeRecord,
    /// Encoded size of all items held; prefix hints, demand and load are evicted above it.
    ///
    /// The footprint benchmark measures 8.3 times as many heap bytes at the target size, so the
    /// default stands for 35 MB.
    pub memory: size::ByteCount,
}

impl Settings {
    /// Settings with the default memory limit of 4 MiB.
    pub const fn new(record: node_record::NodeRecord) -> Self {
        Self {
            record,
            memory: size::ByteCount(4 << 20),
        }
    }
}
