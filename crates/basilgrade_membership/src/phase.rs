//! Phases of joining a domain.

use basilgrade_types::clock;
use basilgrade_types::id;
use indexmap::IndexSet;

/// How far a daemon has come in joining its domain.
#[derive(Clone, Debug)]
pub(crate) enum JoinPhase {
    /// The daemon fetches the state from a peer.
    Fetching {
        /// When the phase began.
        since: clock::Millis,
        /// The peer with an outstanding join request, and when the request was sent.
        asked: Option<(id::VmId, clock::Millis)>,
        /// Peers that did not answer or were themselves joining.
        tried: IndexSet<id::VmId>,
    },
    /// The daemon has sent a digest to every member that is not dead, to learn its revision.
    Confirming {
        /// When the digests were sent.
        since: clock::Millis,
        /// Members that have neither replied nor turned out to be unreachable.
        waiting: IndexSet<id::VmId>,
    },
    /// Joining is complete.
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
