//! Deltas of a member's items.

use serde::Deserialize;
use serde::Serialize;

use crate::item_set_delta;
use crate::tag;

/// Newer items of one run of a daemon.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct MemberDelta {
    /// Hash of the VM name and incarnation of the member.
    pub tag: tag::Tag,
    /// Items that are newer than the version held by the receiver.
    pub delta: item_set_delta::ItemSetDelta,
}
