//! Progress of joining.

use basilgrade_types::clock;
use basilgrade_types::id;
use indexmap::IndexSet;

/// How far a daemon has come in joining its domain.
#[derive(Clone, Debug)]
pub(crate) enum JoinPhase {
    /// It is fetching the state from a peer.
    Fetching {
        /// Start of the attempt.
        since: clock::Millis,
        /// The peer asked last, and when.
        asked: Option<(id::VmId, clock::Millis)>,
        /// Peers that did not answer.
        tried: IndexSet<id::VmId>,
    },
    /// It is asking every live member for its revision.
    Confirming {
        /// When it asked.
        since: clock::Millis,
        /// Members that have not answered.
        waiting: IndexSet<id::VmId>,
    },
    /// It is a member.
    Joined,
}

impl JoinPhase {
    pub(crate) fn fetching(now: clock::Millis) -> Self {
        Self::Fetching {
            since: now,
            asked: None,
            tried: IndexSet::new(),
        }
    }
}
