//! What a daemon knows and does.

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

/// The state of a daemon at one moment.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Status {
    /// The VM it runs on.
    pub vm: id::VmId,
    /// The failure domain of the VM.
    pub domain: id::DomainId,
    /// When it was started.
    pub incarnation: incarnation::Incarnation,
    /// The revision in force; 0 if there is none.
    pub revision: revision::Revision,
    /// How far it has read stream `control`.
    pub offset: offset::Offset,
    /// Whether it takes requests.
    pub phase: phase::Phase,
    /// The daemons that it knows, itself included.
    pub members: Vec<member::Member>,
    /// Upstreams that are leaving.
    pub leaving: Vec<id::UpstreamId>,
    /// Upstreams that are ejected as outliers.
    pub ejected: Vec<id::UpstreamId>,
    /// Slots that it holds.
    pub slots: Vec<slot::HeldSlot>,
    /// Counters by name, as in `/metrics`.
    pub counters: IndexMap<CompactString, u64>,
}
