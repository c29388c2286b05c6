//! The ownership of a slot of the request-key space.

use basilgrade_types::clock;
use basilgrade_types::offset;
use serde::Deserialize;
use serde::Serialize;

use crate::grant;

/// The ownership of a slot after the newest accepted grant or release of the slot.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Ownership {
    /// The offset of the accepted record; the next record of the slot must have it as `prev`.
    pub epoch: offset::Offset,
    /// The epoch since which the same two daemons have owned the slot without interruption.
    ///
    /// A grant that renews the same pair does not change it, so pending claims and the
    /// synchronisation of the backup survive a renewal.
    pub pair: offset::Offset,
    /// The `pair` value of the previous pair, whose claims the primary has; `None` if the claims
    /// were lost when the current pair began.
    pub former: Option<offset::Offset>,
    /// Keys created before this instant may have been claimed under this or an earlier epoch.
    pub ceiling: clock::Millis,
    /// The grant in force; `None` after a release.
    pub grant: Option<grant::Grant>,
}
