//! The newer part of a ledger.

use serde::Deserialize;
use serde::Serialize;

use crate::versioned;

/// The items of an owner after a version.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct LedgerDelta {
    /// The version that the receiver is taken to hold; the delta does not apply to an older one.
    pub from: u64,
    /// The version that the receiver holds afterwards.
    pub through: u64,
    /// How the items relate to those held.
    pub extent: Extent,
    /// Items in order of version.
    pub items: Vec<versioned::Versioned>,
}

/// Whether a delta holds the whole ledger.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Extent {
    /// Only the items after `from`.
    Newer,
    /// All items; those held before are dropped, because a withdrawal may have expired.
    Whole,
}
