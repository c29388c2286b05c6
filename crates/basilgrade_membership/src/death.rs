//! Evidence that a VM is dead, as required before its slots are reassigned.

use basilgrade_types::incarnation;

use crate::status;

/// Whether a change of ownership may treat a VM as dead, and if not, why.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DeathEvidence {
    /// The VM is dead, and an attempt of this daemon to reach it has failed since the last sign of
    /// life.
    Confirmed,
    /// The run in question has ended: a newer incarnation of the same VM is known.
    Superseded(incarnation::Incarnation),
    /// Heartbeats are missing, but no attempt of this daemon to reach the VM has failed since. The
    /// caller should try to reach the VM and pass the result to `Node::report_contact`.
    ContactNeeded,
    /// No summary arrives from the domain of the VM, or from a domain that the VM may belong to.
    /// From outside, a partitioned domain looks like a failed one but still serves its slots,
    /// so silence alone permits no takeover. The claims code may wait until the ceiling of the
    /// grant has passed.
    DomainSilent,
    /// The VM is not dead; it has the given status.
    NotDead(status::Status),
    /// This process was paused or has just started, so its view of other daemons is not reliable
    /// yet.
    ViewUncertain,
}

impl DeathEvidence {
    /// Whether the slots of the VM may be reassigned to another daemon.
    pub const fn permits_takeover(self) -> bool {
        matches!(self, Self::Confirmed | Self::Superseded(_))
    }
}
