//! The newer part of an item set.

use serde::Deserialize;
use serde::Serialize;

use crate::versioned_item;

/// The items of an owner after a version.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ItemSetDelta {
    /// The version that the receiver is taken to hold; the delta does not apply to an older one.
    pub from: u64,
    /// The version that the receiver holds after applying the delta.
    pub through: u64,
    /// How the items relate to those held by the receiver.
    pub extent: Extent,
    /// Items in order of version.
    pub items: Vec<versioned_item::VersionedItem>,
}

/// Whether a delta holds the whole item set.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Extent {
    /// Only the items after `from`.
    Newer,
    /// All items; those held before are dropped, because a tombstone may have expired.
    Whole,
}
