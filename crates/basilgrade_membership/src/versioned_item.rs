//! An item with its version.

use serde::Deserialize;
use serde::Serialize;

use crate::item;

/// An item and the version at which its owner set it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct VersionedItem {
    /// Version in the owner's ledger.
    pub version: u64,
    /// The item.
    pub item: item::Item,
}
