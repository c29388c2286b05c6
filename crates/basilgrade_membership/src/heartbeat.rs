//! Heartbeats of members, as exchanged in digests.

use serde::Deserialize;
use serde::Serialize;

use crate::status;
use crate::tag;

/// The newest known heartbeat of a member and the version of its items.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Heartbeat {
    /// Hash of the VM name and incarnation of the member.
    pub tag: tag::Tag,
    /// Heartbeat counter; only the member itself increments it.
    pub version: u64,
    /// Version of the member's newest item that the sender holds.
    pub item_version: u64,
    /// Status of the member in the sender's view.
    pub status: status::Status,
    /// Time since the member incremented `version`, in hundredths of a second.
    ///
    /// The age lets every receiver measure silence from the same moment, however many hops the
    /// heartbeat took.
    pub age_centis: u16,
}
