//! Status of a daemon, as reported to operators.

pub mod member;
pub mod phase;
pub mod slot;

use basilgrade_types::id;
use basilgrade_types::incarnation;
use basilgrade_types::offset;
use basilgrade_types::revision;
use compact_str::CompactString;
use indexmap::IndexMap;
use serde::Serialize;

/// The status of a daemon at one instant.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Status {
    /// The VM that the daemon runs on.
    pub vm: id::VmId,
    /// The failure domain of the VM.
    pub domain: id::DomainId,
    /// The start time of the daemon, which distinguishes it from earlier runs on the same VM.
    pub incarnation: incarnation::Incarnation,
    /// The configuration revision in force; 0 if there is none.
    pub revision: revision::Revision,
    /// The offset up to which the daemon has read the log stream `control`.
    pub offset: offset::Offset,
    /// Whether the daemon accepts requests.
    pub phase: phase::Phase,
    /// All daemons that the daemon knows, including itself.
    pub members: Vec<member::Member>,
    /// Upstreams that announced in a response that they are leaving.
    pub leaving: Vec<id::UpstreamId>,
    /// Upstreams that are excluded from load balancing as outliers.
    pub ejected: Vec<id::UpstreamId>,
    /// Slots of which the daemon is the primary or the backup.
    pub slots: Vec<slot::HeldSlot>,
    /// Counter values by name, as in `/metrics`.
    pub counters: IndexMap<CompactString, u64>,
}
