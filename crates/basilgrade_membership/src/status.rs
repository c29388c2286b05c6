//! Status of a member.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// Status of one run of a daemon.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Status {
    /// Heartbeats arrive on time.
    Alive,
    /// Heartbeats arrive on time, and the daemon has announced that it will stop.
    Leaving,
    /// Heartbeats are late: the daemon is paused, partitioned or dead.
    Suspect,
    /// No heartbeat has arrived for `timing::DEAD_AFTER`.
    Dead,
}

impl Status {
    /// Whether heartbeats arrive on time.
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
