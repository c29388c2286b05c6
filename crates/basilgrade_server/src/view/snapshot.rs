//! The configuration in force, indexed for use by requests.

use std::sync;

use basilgrade_config::model::deployment;
use basilgrade_policy::budget::planner;
use basilgrade_policy::candidate;
use basilgrade_policy::prefix::index;
use basilgrade_policy::router;
use basilgrade_policy::share::shares;
use basilgrade_types::clock;
use basilgrade_types::id;
use basilgrade_types::revision;
use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::view::entry;
use crate::view::pool;
use crate::view::registry;

/// Memory limit of the prefix index: a sixteenth of the 64 MiB that a daemon may use for control
/// state.
const PREFIX_INDEX_BYTES: usize = 4 << 20;

/// Inputs of a snapshot besides the configuration.
pub struct BuildContext<'a> {
    /// Time at which the state of upstreams and daemons is judged.
    pub now: clock::Millis,
    /// Failure domain of this daemon.
    pub domain: &'a id::DomainId,
    /// Number of live daemons, this one included.
    pub daemons: u32,
    /// Observed state of all upstreams.
    pub registry: &'a registry::Registry,
    /// Router for the calls of the snapshot.
    pub router: sync::Arc<dyn router::Router>,
}

/// An immutable snapshot that requests read without a lock; a new revision replaces it as a whole.
pub struct Snapshot {
    /// Configuration revision.
    pub revision: revision::Revision,
    /// The configuration.
    pub deployment: deployment::Deployment,
    /// Regions; their index identifies them in entries and matrices.
    pub regions: IndexSet<id::RegionId>,
    /// Upstreams; their index identifies them to the router.
    pub entries: Vec<entry::Entry>,
    /// Indices of the upstreams of each pool.
    pub pools: IndexMap<id::PoolId, Vec<u32>>,
    /// Observed state of each pool.
    pub pool_states: IndexMap<id::PoolId, sync::Arc<pool::PoolState>>,
    /// Shares of the customers' quotas that this daemon may admit.
    pub shares: sync::Arc<shares::CustomerShares>,
    /// Index of this daemon's region.
    pub own_region: u16,
    /// Price of 1 MiB from the row's region to the column's region, in millionths of the currency.
    pub prices: Vec<Vec<f32>>,
    /// One-way latency from the row's region to the column's region, in milliseconds.
    pub latency: Vec<Vec<f32>>,
    /// Router, weighted by the objectives of this deployment.
    pub router: sync::Arc<dyn router::Router>,
    /// Observed stage durations and the deadline plans derived from them.
    pub planner: sync::Arc<planner::Planner>,
    /// Prompt prefixes expected in the caches of engines, by index of the upstream.
    pub prefixes: sync::Arc<index::PrefixIndex>,
}

impl Snapshot {
    /// Indexes `deployment`, and reuses the observations of `previous` that still apply.
    pub fn build(
        revision: revision::Revision,
        deployment: deployment::Deployment,
        build_context: &BuildContext<'_>,
        previous: Option<&Self>,
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
        let mut pools: IndexMap<id::PoolId, Vec<u32>> = IndexMap::new();
        for (index, upstream) in deployment.upstreams.values().enumerate() {
            let pool = pools.entry(upstream.pool.clone()).or_default();
            pool.push(index as u32);
        }
        let pool_states = build_pool_states(&deployment, &pools, previous);
        let entries = deployment
            .upstreams
            .values()
            .enumerate()
            .filter_map(|(index, upstream)| {
                let pool = pools.get(&upstream.pool)?;
                Some(entry::Entry {
                    id: upstream.id.clone(),
                    pool: upstream.pool.clone(),
                    address: upstream.address,
                    region: position(&upstream.domain),
                    capacity: upstream.capacity,
                    price: deployment
                        .pools
                        .get(&upstream.pool)
                        .map_or(0.0, |pool| pool.price.0 as f32),
                    pool_index: pool.iter().position(|other| *other == index as u32)?,
                    stats: build_context.registry.stats(&upstream.id),
                    pool_state: sync::Arc::clone(pool_states.get(&upstream.pool)?),
                })
            })
            .collect();
        let own_region = position(build_context.domain);
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
        // Most configuration changes concern customers only, so the observed stage durations stay
        // valid.
        let reused = previous.filter(|previous| {
            previous.deployment.pipelines == deployment.pipelines
                && previous.deployment.services == deployment.services
        });
        let planner = reused.map_or_else(
            || sync::Arc::new(planner::Planner::new(&deployment)),
            |previous| sync::Arc::clone(&previous.planner),
        );
        let shares = customer_shares(&deployment, build_context, previous);
        let prefixes = prefix_index(&deployment, previous);
        Self {
            revision,
            deployment,
            regions,
            entries,
            pools,
            pool_states,
            shares,
            own_region,
            prices,
            latency,
            router: sync::Arc::clone(&build_context.router),
            planner,
            prefixes,
        }
    }

    /// Candidates of a pool at `now`, without upstreams that are leaving.
    ///
    /// If any upstream of the pool reports loaded models, upstreams without `model` are excluded,
    /// too.
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
        let reports_models = |entry: &entry::Entry| !entry.stats.models.load().is_empty();
        let model = model.filter(|_| indices.iter().filter_map(entry).any(reports_models));
        indices
            .iter()
            .filter(|index| {
                model.is_none_or(|model| {
                    entry(index).is_some_and(|entry| self.loaded_weights(entry, model).is_some())
                })
            })
            .filter_map(|index| self.candidate(*index, now))
            .collect()
    }

    /// The weights of `model` that an upstream last reported as loaded: the version in the
    /// configuration, or a former version during a version change.
    pub fn loaded_weights(&self, entry: &entry::Entry, model: &id::ModelId) -> Option<id::ModelId> {
        let loaded = entry.stats.models.load();
        let declared_model = self.deployment.models.get(model);
        let current_weights =
            declared_model.map_or(model, |declared_model| &declared_model.weights);
        if loaded.contains(current_weights) {
            return Some(current_weights.clone());
        }
        let declared_model = declared_model?;
        let version = loaded.iter().find(|found| {
            let owner = declared_model
                .has_version(found)
                .then(|| self.deployment.model_for_weights(found));
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

/// Builds the state of each pool; reused while the pool has the same upstreams in the same order.
fn build_pool_states(
    deployment: &deployment::Deployment,
    pools: &IndexMap<id::PoolId, Vec<u32>>,
    previous: Option<&Snapshot>,
) -> IndexMap<id::PoolId, sync::Arc<pool::PoolState>> {
    let state = |(name, indices): (&id::PoolId, &Vec<u32>)| {
        let members: Vec<_> = indices
            .iter()
            .filter_map(|index| deployment.upstreams.get_index(*index as usize))
            .map(|(upstream, _)| upstream.clone())
            .collect();
        let reused = previous
            .and_then(|previous| previous.pool_states.get(name))
            .filter(|reused| reused.members == members);
        let state = reused.map_or_else(
            || sync::Arc::new(pool::PoolState::new(members)),
            sync::Arc::clone,
        );
        (name.clone(), state)
    };
    pools.iter().map(state).collect()
}

/// Builds the prefix index; reused while the indices of the upstreams stay the same.
fn prefix_index(
    deployment: &deployment::Deployment,
    previous: Option<&Snapshot>,
) -> sync::Arc<index::PrefixIndex> {
    previous
        .filter(|previous| {
            previous
                .deployment
                .upstreams
                .keys()
                .eq(deployment.upstreams.keys())
        })
        .map_or_else(
            || {
                let count = deployment.upstreams.len();
                sync::Arc::new(index::PrefixIndex::new(PREFIX_INDEX_BYTES, count))
            },
            |previous| sync::Arc::clone(&previous.prefixes),
        )
}

/// Builds the quota shares; reused while the declared customers stay the same.
fn customer_shares(
    deployment: &deployment::Deployment,
    build_context: &BuildContext<'_>,
    previous: Option<&Snapshot>,
) -> sync::Arc<shares::CustomerShares> {
    let BuildContext { now, daemons, .. } = *build_context;
    previous
        .filter(|previous| previous.deployment.customers == deployment.customers)
        .map_or_else(
            || {
                sync::Arc::new(shares::CustomerShares::new(
                    now,
                    deployment.customers.values(),
                    daemons,
                ))
            },
            |previous| sync::Arc::clone(&previous.shares),
        )
}

/// Holder of the snapshot in force, replaced atomically; empty before the first configuration.
pub type Current = arc_swap::ArcSwapOption<Snapshot>;

/// A reference-counted snapshot.
pub type Shared = sync::Arc<Snapshot>;
