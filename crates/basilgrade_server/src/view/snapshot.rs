//! The configuration in force, indexed for the path of a request.

use std::sync;

use basilgrade_config::model::deployment;
use basilgrade_policy::budget::planner;
use basilgrade_policy::candidate;
use basilgrade_policy::router;
use basilgrade_types::clock;
use basilgrade_types::id;
use basilgrade_types::revision;
use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::view::entry;
use crate::view::registry;

/// An immutable view that requests read without a lock; a new revision replaces it as a whole.
pub struct Snapshot {
    /// The revision in force.
    pub revision: revision::Revision,
    /// The configuration.
    pub deployment: deployment::Deployment,
    /// Regions in order of position.
    pub regions: IndexSet<id::RegionId>,
    /// Upstreams in order of position.
    pub entries: Vec<entry::Entry>,
    /// Positions of the upstreams of each pool.
    pub pools: IndexMap<id::PoolId, Vec<u32>>,
    /// Position of this daemon's region.
    pub home: u16,
    /// Price of 1 MiB from row region to column region.
    pub prices: Vec<Vec<f32>>,
    /// One-way latency from row region to column region, in milliseconds.
    pub latency: Vec<Vec<f32>>,
    /// Choice of upstream for what this deployment values.
    pub router: sync::Arc<dyn router::Router>,
    /// Stage times and the plans that follow from them.
    pub planner: sync::Arc<planner::Planner>,
}

impl Snapshot {
    /// Indexes `deployment` as seen from failure domain `domain`.
    pub fn build(
        revision: revision::Revision,
        deployment: deployment::Deployment,
        domain: &id::DomainId,
        registry: &registry::Registry,
        router: sync::Arc<dyn router::Router>,
        before: Option<&Self>,
    ) -> Self {
        let regions: IndexSet<_> = deployment
            .domains
            .values()
            .map(|domain| domain.region.clone())
            .collect();
        let position = |domain: &id::DomainId| {
            deployment
                .region(domain)
                .and_then(|region| regions.get_index_of(region))
                .unwrap_or_default() as u16
        };
        let entries: Vec<_> = deployment
            .upstreams
            .values()
            .map(|upstream| entry::Entry {
                id: upstream.id.clone(),
                pool: upstream.pool.clone(),
                address: upstream.address,
                region: position(&upstream.domain),
                capacity: upstream.capacity,
                price: deployment
                    .pools
                    .get(&upstream.pool)
                    .map_or(0.0, |pool| pool.price.0 as f32),
                stats: registry.stats(&upstream.id),
            })
            .collect();
        let mut pools: IndexMap<id::PoolId, Vec<u32>> = IndexMap::new();
        for (index, entry) in entries.iter().enumerate() {
            pools
                .entry(entry.pool.clone())
                .or_default()
                .push(index as u32);
        }
        let home = position(domain);
        let matrix = |value: &dyn Fn(&id::RegionId, &id::RegionId) -> f32| {
            regions
                .iter()
                .map(|from| regions.iter().map(|to| value(from, to)).collect())
                .collect()
        };
        let prices = matrix(&|from, to| {
            deployment
                .link(from, to)
                .filter(|_| from != to)
                .map_or(0.0, |link| link.price.0 as f32)
        });
        let latency = matrix(&|from, to| {
            deployment
                .link(from, to)
                .filter(|_| from != to)
                .map_or(0.0, |link| link.latency.as_f64() as f32)
        });
        // Most changes concern customers; the stage times observed so far stay valid then.
        let kept = before.filter(|before| {
            before.deployment.pipelines == deployment.pipelines
                && before.deployment.services == deployment.services
        });
        let planner = kept.map_or_else(
            || sync::Arc::new(planner::Planner::new(&deployment)),
            |before| sync::Arc::clone(&before.planner),
        );
        Self {
            revision,
            deployment,
            regions,
            entries,
            pools,
            home,
            prices,
            latency,
            router,
            planner,
        }
    }

    /// Candidates of a pool at `now`; upstreams that are leaving are left out.
    ///
    /// If any upstream of the pool reports loaded models, those without `model` are left out, too.
    pub fn candidates(
        &self,
        pool: &id::PoolId,
        model: Option<&id::ModelId>,
        now: clock::Millis,
    ) -> Vec<candidate::Candidate> {
        let Some(indices) = self.pools.get(pool) else {
            return Vec::new();
        };
        let entry = |index: &u32| self.entries.get(*index as usize);
        let reports = |entry: &entry::Entry| !entry.stats.models.load().is_empty();
        let model = model.filter(|_| indices.iter().filter_map(entry).any(reports));
        indices
            .iter()
            .filter(|index| {
                model.is_none_or(|model| {
                    entry(index).is_some_and(|entry| self.weights(entry, model).is_some())
                })
            })
            .filter_map(|index| self.candidate(*index, now))
            .collect()
    }

    /// The weights by which an upstream has `model` loaded, as last reported: the version to serve,
    /// or a former one while versions change.
    pub fn weights(&self, entry: &entry::Entry, model: &id::ModelId) -> Option<id::ModelId> {
        let loaded = entry.stats.models.load();
        let placed = self.deployment.models.get(model);
        let wanted = placed.map_or(model, |placed| &placed.weights);
        if loaded.contains(wanted) {
            return Some(wanted.clone());
        }
        let placed = placed?;
        let version = loaded.iter().find(|found| {
            let owner = placed
                .has_version(found)
                .then(|| self.deployment.model_of(found));
            owner.flatten().is_some_and(|owner| owner.id == *model)
        });
        version.cloned()
    }

    fn candidate(&self, index: u32, now: clock::Millis) -> Option<candidate::Candidate> {
        let entry = self.entries.get(index as usize)?;
        if entry.stats.is_leaving(now) {
            return None;
        }
        Some(entry.candidate(index, now))
    }
}

/// The view shared by all requests.
pub type Current = arc_swap::ArcSwapOption<Snapshot>;

/// One loaded view.
pub type Loaded = sync::Arc<Snapshot>;
