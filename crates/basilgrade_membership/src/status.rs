//! States of a member.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// The state of one run of a daemon.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Status {
    /// Heartbeats arrive.
    Alive,
    /// Heartbeats arrive and the daemon has announced that it will stop.
    Leaving,
    /// Heartbeats are late; the daemon is paused, partitioned or dead.
    Suspect,
    /// Heartbeats are missing for longer than `timing::DEAD_AFTER`.
    Dead,
}

impl Status {
    /// Whether heartbeats arrive.
    pub const fn is_live(self) -> bool {
        matches!(self, Self::Alive | Self::Leaving)
    }
}

impl fmt::Display for Status {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Alive => "alive",
            Self::Leaving => "leaving",
            Self::Suspect => "suspect",
            Self::Dead => "dead",
        })
    }
}
