//! The outcome of one placement decision.

use basilgrade_types::id;

use crate::decision;

/// Orders to send now and what was decided since the last plan.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Plan {
    /// Desired state of each engine whose load report does not show it yet.
    pub orders: Vec<(id::UpstreamId, Vec<id::ModelId>)>,
    /// Decisions, for the log.
    pub decisions: Vec<decision::Decision>,
}
