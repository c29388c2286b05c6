//! Daemons known to a daemon, and their state.

use std::fmt;

use basilgrade_types::id;
use basilgrade_types::incarnation;
use serde::Serialize;

/// The state of a daemon as seen by the reporting daemon.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// The daemon responds.
    Alive,
    /// The daemon does not respond; it may be paused or partitioned from the reporting daemon.
    Suspect,
    /// The daemon is draining.
    Leaving,
    /// The daemon has not responded for so long that it counts as failed.
    Dead,
}

impl fmt::Display for State {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Alive => "alive",
            Self::Suspect => "suspect",
            Self::Leaving => "leaving",
            Self::Dead => "dead",
        })
    }
}

/// A daemon as seen by the reporting daemon.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Member {
    /// The VM that the daemon runs on.
    pub vm: id::VmId,
    /// The failure domain of the VM.
    pub domain: id::DomainId,
    /// The start time of the daemon, which distinguishes it from earlier runs on the same VM.
    pub incarnation: incarnation::Incarnation,
    /// The state of the daemon.
    pub state: State,
}
