//! An engine as its load report shows it.

use basilgrade_types::clock;
use basilgrade_types::id;
use indexmap::IndexSet;

/// Whether an engine can be counted on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum State {
    /// Its load reports are recent.
    Reporting,
    /// Its last load report is old or there is none.
    Stale,
    /// It is about to leave.
    Leaving,
}

/// An engine of the failure domain.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Engine {
    /// The name of the engine.
    pub id: id::UpstreamId,
    /// The pool it belongs to.
    pub pool: id::PoolId,
    /// Whether it can be counted on.
    pub state: State,
    /// The instant that its last load report describes.
    pub reported: clock::Millis,
    /// Weights loaded as last reported.
    pub loaded: IndexSet<id::ModelId>,
}
