//! Input of a placement decision.

use basilgrade_config::model::deployment;
use basilgrade_types::id;
use indexmap::IndexMap;

use crate::demand;
use crate::engine;
use crate::store;

/// The state of a failure domain as known to its placement writer.
#[derive(Clone, Copy, Debug)]
pub struct View<'a> {
    /// The configuration in force.
    pub deployment: &'a deployment::Deployment,
    /// All engines of the failure domain, including stale and leaving ones.
    pub engines: &'a [engine::Engine],
    /// Demand by model; a model that is not listed has no demand.
    pub demand: &'a IndexMap<id::ModelId, demand::Demand>,
    /// Properties of the weight store; `None` until the store has responded once.
    pub store: Option<&'a store::Store>,
}
