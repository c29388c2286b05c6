//! Whether a VM may be treated as dead when ownership changes.

use basilgrade_types::incarnation;

use crate::status;

/// The answer to "may I treat this VM as dead for ownership?".
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DeathEvidence {
    /// It is dead and an own attempt to reach it failed since its last sign of life.
    Confirmed,
    /// The run in question has ended: a newer one of the same VM is known.
    Superseded(incarnation::Incarnation),
    /// Heartbeats are missing, but no own attempt to reach it has failed since; make one and call
    /// `Node::report_contact`.
    ContactNeeded,
    /// Its whole domain, or one that it may stand in, is not heard. From outside, a partitioned
    /// domain looks like a lost one and continues to serve its slots, so silence alone permits
    /// nothing; the claims code may wait for the ceiling of the grant to pass.
    DomainSilent,
    /// It is not dead.
    NotDead(status::Status),
    /// This process was paused or has just started; its view of others is not to be trusted yet.
    ViewUncertain,
}

impl DeathEvidence {
    /// Whether ownership may be taken from it.
    pub const fn permits_takeover(self) -> bool {
        matches!(self, Self::Confirmed | Self::Superseded(_))
    }
}
