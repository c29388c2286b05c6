//! The whole configuration.

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

/// A checked configuration: every name that is used is declared.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Deployment {
    /// The name of the deployment; the same in every revision.
    pub name: CompactString,
    /// What the deployment values.
    pub weights: weights::Weights,
    /// Failure domains by name.
    pub domains: IndexMap<id::DomainId, domain::Domain>,
    /// Links between regions.
    pub links: Vec<link::Link>,
    /// Pools by name.
    pub pools: IndexMap<id::PoolId, pool::Pool>,
    /// Upstreams by name.
    pub upstreams: IndexMap<id::UpstreamId, upstream::Upstream>,
    /// Models that the system places on engines, by name.
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
    /// The region of a failure domain, if the domain is declared.
    pub fn region(&self, domain: &id::DomainId) -> Option<&id::RegionId> {
        self.domains.get(domain).map(|found| &found.region)
    }

    /// The model that `weights` are a version of; of several, the one with the longest name.
    pub fn model_for_weights(&self, weights: &id::ModelId) -> Option<&placed_model::PlacedModel> {
        let models = self.models.values();
        models
            .filter(|model| model.has_version(weights))
            .max_by_key(|model| model.id.as_str().len())
    }

    /// The link between two regions, if one is declared.
    pub fn link(&self, from: &id::RegionId, to: &id::RegionId) -> Option<&link::Link> {
        self.links.iter().find(|link| {
            (&link.from == from && &link.to == to) || (&link.from == to && &link.to == from)
        })
    }
}
