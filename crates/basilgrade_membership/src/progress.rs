//! How far a daemon has read the log streams.

use basilgrade_types::offset;
use basilgrade_types::revision;
use serde::Deserialize;
use serde::Serialize;

/// The revision in force and the control offset of a daemon or of a domain.
///
/// Only the numbers are disseminated; a daemon that is behind pulls the records.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Progress {
    /// Revision of the configuration in force.
    pub revision: revision::Revision,
    /// Next offset to be read from stream `control`.
    pub control_offset: offset::Offset,
    /// Whether the daemon's own reads of the log fail.
    pub log_access: LogAccess,
}

impl Progress {
    /// The greater of each number; whether the log is reachable is not combined.
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
    /// Reads succeed, or none was made.
    #[default]
    Reachable,
    /// Reads fail; another member should try.
    Unreachable,
}
