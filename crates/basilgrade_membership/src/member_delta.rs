//! Newer items of one member.

use serde::Deserialize;
use serde::Serialize;

use crate::item_set_delta;
use crate::tag;

/// Newer items of one run of a daemon.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct MemberDelta {
    /// The run of the daemon.
    pub tag: tag::Tag,
    /// Its items.
    pub delta: item_set_delta::ItemSetDelta,
}
