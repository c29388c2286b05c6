//! Items with their versions.

use serde::Deserialize;
use serde::Serialize;

use crate::item;

/// An item and the version at which its owner set it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct VersionedItem {
    /// Value of the owner's version counter when the item was set.
    pub version: u64,
    pub item: item::Item,
}
