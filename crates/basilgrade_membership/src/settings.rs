//! Settings of a membership node.

use basilgrade_types::size;

use crate::node_record;

/// Identity and memory limit of a membership node.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Identity and address of this daemon.
    pub record: node_record::NodeRecord,
    /// Maximum encoded size of all held items; above it, prefix hints, demand and load are evicted.
    ///
    /// At the target size, the footprint benchmark measures 8.3 heap bytes per encoded byte, so the
    /// default of 4 MiB corresponds to 35 MB of heap.
    pub memory: size::ByteCount,
}

impl Settings {
    /// Creates settings with the default memory limit of 4 MiB.
    pub const fn new(record: node_record::NodeRecord) -> Self {
        Self {
            record,
            memory: size::ByteCount(4 << 20),
        }
    }
}
