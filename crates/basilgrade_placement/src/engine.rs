//! An engine as described by its load reports.

use basilgrade_types::clock;
use basilgrade_types::id;
use indexmap::IndexSet;

/// Whether an engine is reachable and available for placement.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum State {
    /// The last load report is recent.
    Reporting,
    /// The last load report is too old, or no report was received.
    Stale,
    /// The engine announced that it is about to leave.
    Leaving,
}

/// An engine of the failure domain.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Engine {
    pub id: id::UpstreamId,
    pub pool: id::PoolId,
    pub state: State,
    /// The instant at which the contents of the last load report were valid.
    pub reported: clock::Millis,
    /// Weights that the last load report lists as loaded.
    pub loaded: IndexSet<id::ModelId>,
}
