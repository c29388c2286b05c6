//! Identity of a daemon process.

use std::fmt;

use basilgrade_types::id;
use basilgrade_types::incarnation;
use serde::Deserialize;
use serde::Serialize;

/// A daemon process, identified by its VM and its start time.
///
/// Grants and leases contain the incarnation because a restarted daemon has lost its claims and
/// must not be mistaken for the process that had them.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Node {
    /// The VM that the daemon runs on.
    pub vm: id::VmId,
    /// The start time of the daemon process.
    pub incarnation: incarnation::Incarnation,
}

impl fmt::Display for Node {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.vm, self.incarnation)
    }
}
