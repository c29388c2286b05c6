//! Models that the placement planner loads on engines.

use basilgrade_types::id;
use serde::Deserialize;
use serde::Serialize;

/// A model with the pool of engines that load it and the required number of replicas.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PlacedModel {
    /// The name by which stages refer to the model.
    pub id: id::ModelId,
    /// The pool of engines that serve the model.
    pub pool: id::PoolId,
    /// The name of the weights to serve: `MODEL`, or `MODEL.VERSION` if a version is configured.
    pub weights: id::ModelId,
    /// The minimum number of replicas in each failure domain that has engines of the pool.
    pub least: u32,
}

impl PlacedModel {
    /// The configured version to serve, if there is one.
    pub fn version(&self) -> Option<&str> {
        let rest = self.weights.as_str().strip_prefix(self.id.as_str())?;
        rest.strip_prefix('.')
    }

    /// Whether `weights` is the name of the model or `MODEL.VERSION` with any version.
    pub fn has_version(&self, weights: &id::ModelId) -> bool {
        let rest = weights.as_str().strip_prefix(self.id.as_str());
        rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('.'))
    }
}
