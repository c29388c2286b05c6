//! A request for newer items of a member.

use serde::Deserialize;
use serde::Serialize;

use crate::tag;

/// Asks for the items of a member after a version.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ItemRequest {
    /// Hash of the VM name and incarnation of the daemon that owns the items.
    pub tag: tag::Tag,
    /// Version of the items that the requesting daemon holds.
    pub from: u64,
}
