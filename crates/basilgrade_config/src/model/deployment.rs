//! The whole configuration of a deployment.

use basilgrade_types::id;
use compact_str::CompactString;
use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;

use crate::model::customer;
use crate::model::domain;
use crate::model::link;
use crate::model::pipeline;
use crate::model::placed_model;
use crate::model::pool;
use crate::model::service;
use crate::model::upstream;
use crate::model::weights;

/// A validated configuration: every name that is used is declared.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Deployment {
    /// The name of the deployment, which is the same in every revision.
    pub name: CompactString,
    /// The weights of deadline attainment and cost in routing decisions.
    pub weights: weights::ObjectiveWeights,
    /// Failure domains by name.
    pub domains: IndexMap<id::DomainId, domain::Domain>,
    /// Links between regions.
    pub links: Vec<link::Link>,
    /// Pools by name.
    pub pools: IndexMap<id::PoolId, pool::Pool>,
    /// Upstreams by name.
    pub upstreams: IndexMap<id::UpstreamId, upstream::Upstream>,
    /// Models that the placement planner loads on engines, by name.
    #[serde(default)]
    pub models: IndexMap<id::ModelId, placed_model::PlacedModel>,
    /// Pipelines by name.
    pub pipelines: IndexMap<id::PipelineId, pipeline::Pipeline>,
    /// Plain services by pool name.
    pub services: IndexMap<id::PoolId, service::Service>,
    /// Customers by name.
    pub customers: IndexMap<id::CustomerId, customer::Customer>,
}

impl Deployment {
    /// Returns the region of a failure domain, or `None` if the domain is not declared.
    pub fn region(&self, domain: &id::DomainId) -> Option<&id::RegionId> {
        self.domains.get(domain).map(|found| &found.region)
    }

    /// Returns the model of which `weights` names a version.
    ///
    /// If the names of several models match, such as `chat` and `chat.mini` for `chat.mini.v1`,
    /// the model with the longest name is returned.
    pub fn model_for_weights(&self, weights: &id::ModelId) -> Option<&placed_model::PlacedModel> {
        let models = self.models.values();
        models
            .filter(|model| model.has_version(weights))
            .max_by_key(|model| model.id.as_str().len())
    }

    /// Returns the link between two regions, in either direction, or `None` if none is declared.
    pub fn link(&self, from: &id::RegionId, to: &id::RegionId) -> Option<&link::Link> {
        self.links.iter().find(|link| {
            (&link.from == from && &link.to == to) || (&link.from == to && &link.to == from)
        })
    }
}
