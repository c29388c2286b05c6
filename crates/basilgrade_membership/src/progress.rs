//! Positions of daemons in the log streams.

use basilgrade_types::offset;
use basilgrade_types::revision;
use serde::Deserialize;
use serde::Serialize;

/// Position of a daemon, or of the most advanced member of a domain, in the log streams.
///
/// Only the positions are disseminated by gossip; a daemon that is behind pulls the log records.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Progress {
    /// Revision of the configuration that is in force.
    pub revision: revision::Revision,
    /// Next offset to read from stream `control`.
    pub control_offset: offset::Offset,
    /// Whether the daemon itself can read the log.
    pub log_access: LogAccess,
}

impl Progress {
    /// The higher revision and the higher offset of both; `log_access` is taken from `self`.
    #[must_use]
    pub fn newest(self, other: Self) -> Self {
        Self {
            revision: self.revision.max(other.revision),
            control_offset: self.control_offset.max(other.control_offset),
            log_access: self.log_access,
        }
    }
}

/// Whether a daemon's reads of the log succeed.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub enum LogAccess {
    /// The last read succeeded, or there was none yet.
    #[default]
    Reachable,
    /// Reads fail; another member should become the log reader.
    Unreachable,
}
