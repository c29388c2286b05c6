//! The result of one planning round.

use basilgrade_types::id;

use crate::decision;

/// Orders to send now and the decisions made since the previous plan.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Plan {
    /// Weights to have loaded, for each engine whose load report does not show exactly these yet.
    pub orders: Vec<(id::UpstreamId, Vec<id::ModelId>)>,
    /// Decisions to write to the log.
    pub decisions: Vec<decision::Decision>,
}
