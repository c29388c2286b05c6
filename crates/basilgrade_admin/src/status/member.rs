//! Other daemons.

use std::fmt;

use basilgrade_types::id;
use basilgrade_types::incarnation;
use serde::Serialize;

/// The state of a daemon as seen by another.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// It answers.
    Alive,
    /// It does not answer; it may be paused or partitioned.
    Suspect,
    /// It is draining.
    Leaving,
    /// It has not answered for long.
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

/// A daemon as seen by another.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Member {
    /// The VM it runs on.
    pub vm: id::VmId,
    /// The failure domain of the VM.
    pub domain: id::DomainId,
    /// When it was started.
    pub incarnation: incarnation::Incarnation,
    /// Its state.
    pub state: State,
}
