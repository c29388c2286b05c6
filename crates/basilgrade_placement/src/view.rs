//! What a placement decision is based on.

use basilgrade_config::model::deployment;
use basilgrade_types::id;
use indexmap::IndexMap;

use crate::demand;
use crate::engine;
use crate::store;

/// The failure domain as its writer sees it.
#[derive(Clone, Copy, Debug)]
pub struct View<'a> {
    /// The configuration in force.
    pub deployment: &'a deployment::Deployment,
    /// The engines of the failure domain.
    pub engines: &'a [engine::Engine],
    /// Demand by model; a model that is missing has none.
    pub demand: &'a IndexMap<id::ModelId, demand::Demand>,
    /// The weight store, if it has answered so far.
    pub store: Option<&'a store::Store>,
}
