//! A request for newer items of a member.

use serde::Deserialize;
use serde::Serialize;

use crate::tag;

/// Asks for the items of a member after a version.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ItemRequest {
    /// The run of the daemon.
    pub tag: tag::Tag,
    /// Version held.
    pub from: u64,
}
