//! A copy of the newest records of a topic.

use basilgrade_adapter::store;
use bytes::Bytes;
use compact_str::CompactString;
use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;

/// The newest records of a topic, as of an offset.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Mirror {
    /// The topic.
    pub topic: store::Topic,
    /// Offset of the first record that is not in the copy.
    pub position: u64,
    /// Newest value of each key.
    pub records: IndexMap<CompactString, Bytes>,
}

impl Mirror {
    /// An empty copy.
    pub fn new(topic: store::Topic) -> Self {
        Self {
            topic,
            position: 0,
            records: IndexMap::new(),
        }
    }
}
