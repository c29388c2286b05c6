//! A call that is under way.

use basilgrade_types::clock;
use basilgrade_types::id;

use crate::batch::call;

/// A call that was sent and is not answered.
#[derive(Debug)]
pub(super) struct Running {
    pub(super) maker: id::UpstreamId,
    /// Job, number and approximate size of the result of each piece.
    pub(super) pieces: Vec<(call::JobId, u32, u64)>,
    pub(super) sent: clock::Millis,
    pub(super) nominal: clock::Millis,
    pub(super) bytes: u64,
    /// How far the upstream is.
    pub(super) turn: Turn,
}

/// How far an upstream is with a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Turn {
    /// Another call is before it.
    Ahead,
    /// It fetches the inputs until about this time.
    Fetching(clock::Millis),
    /// It has fetched them.
    Fetched,
}

impl Running {
    /// When the inputs will have been fetched, if its turn has come and they have not been yet.
    pub(super) fn fetched_at(&self) -> Option<clock::Millis> {
        match self.turn {
            Turn::Fetching(at) => Some(at),
            Turn::Ahead | Turn::Fetched => None,
        }
    }
}
