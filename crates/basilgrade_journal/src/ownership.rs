//! What is in force for a slot.

use basilgrade_types::clock;
use basilgrade_types::offset;
use serde::Deserialize;
use serde::Serialize;

use crate::grant;

/// The newest effective record of a slot.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Ownership {
    /// Offset of the record; the next record of the slot has to name it as `prev`.
    pub epoch: offset::Offset,
    /// Epoch since which the same two members have held the slot without interruption.
    ///
    /// A renewal keeps it, so claims in flight and a synchronised backup outlast a renewal.
    pub pair: offset::Offset,
    /// The `pair` of the members from whom the primary has the claims; `None` if history was lost
    /// when this pair began.
    pub former: Option<offset::Offset>,
    /// Keys below this instant may have been claimed under this or an earlier epoch.
    pub ceiling: clock::Millis,
    /// The pair; `None` after a clean release.
    pub grant: Option<grant::Grant>,
}
