//! Models that the system places on engines.

use basilgrade_types::id;
use serde::Deserialize;
use serde::Serialize;

/// A model and where it is to be loaded.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PlacedModel {
    /// The name by which stages ask for the model.
    pub id: id::ModelId,
    /// The pool of engines that serve it.
    pub pool: id::PoolId,
    /// The weights to serve: the name of the model, or the name, a dot and a version.
    pub weights: id::ModelId,
    /// Least number of replicas in each failure domain that has engines of the pool.
    pub least: u32,
}

impl PlacedModel {
    /// The version to serve, if one is named.
    pub fn version(&self) -> Option<&str> {
        let rest = self.weights.as_str().strip_prefix(self.id.as_str())?;
        rest.strip_prefix('.')
    }

    /// Whether `weights` has the form of a version of this model.
    pub fn has_version(&self, weights: &id::ModelId) -> bool {
        let rest = weights.as_str().strip_prefix(self.id.as_str());
        rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('.'))
    }
}
