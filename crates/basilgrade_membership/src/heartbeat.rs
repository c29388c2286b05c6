//! The state of one member in a digest.

use serde::Deserialize;
use serde::Serialize;

use crate::status;
use crate::tag;

/// The newest known sign of life of a member and the extent of its items.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Heartbeat {
    /// The run of the daemon.
    pub tag: tag::Tag,
    /// Version of the member's state; only the member raises it.
    pub version: u64,
    /// Version of its newest item that the sender holds.
    pub item_version: u64,
    /// State as the sender sees it.
    pub status: status::Status,
    /// Time since the member raised its version, in hundredths of a second.
    ///
    /// With the age, every receiver measures silence from the same moment, however many hops the
    /// heartbeat took.
    pub age_centis: u16,
}
