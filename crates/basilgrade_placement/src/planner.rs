//! Decides which weights the engines of one failure domain are to have loaded.

use basilgrade_config::model::deployment;
use basilgrade_config::model::placed_model;
use basilgrade_config::model::pool;
use basilgrade_types::clock;
use basilgrade_types::id;
use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::allotment;
use crate::assignment;
use crate::budget;
use crate::decision;
use crate::engine;
use crate::fleet;
use crate::load;
use crate::plan;
use crate::targets;
use crate::view;

/// Time that a load may take in addition to twice the delivery time of the weights. It covers two
/// polls of load reports, initialisation of the engine, and weight stores that declare no rate.
const LOAD_GRACE: clock::Millis = clock::Millis::from_secs(60);

/// Time for which an engine that failed a load is given no other load.
const AVOID_DURATION: clock::Millis = clock::Millis::from_secs(300);

/// Plans the placement of one failure domain.
///
/// Only the holder of the domain's lease runs a planner. [`Planner::suspend`] has to be called when
/// the lease is lost, because another writer may change the loaded weights from then on.
#[derive(Clone, Debug, Default)]
pub struct Planner {
    targets: targets::Targets,
    fleet: fleet::Fleet,
    /// The load in progress; at most one per failure domain.
    load: Option<load::Load>,
    budget: budget::Budget,
    /// Engines that failed a load, with the instant from which they are used again.
    avoided: IndexMap<id::UpstreamId, clock::Millis>,
    /// The last logged decision to wait; avoids logging the same wait in every round.
    last_wait: Option<decision::Decision>,
}

/// A load that the targets of the failure domain require and that has not been ordered yet.
#[derive(Clone, Debug)]
struct WantedLoad<'a> {
    engine: &'a engine::Engine,
    model: &'a placed_model::PlacedModel,
    slots: usize,
    /// Number of engines that have a replica of the model and retain it.
    replicas: usize,
    reason: decision::Reason,
    /// Models that the engine is to serve.
    assigned: IndexSet<id::ModelId>,
}

/// The reporting engines of a pool with the target number of replicas of each model.
struct PoolPlan<'a> {
    /// Number of models that each engine can have loaded.
    slots: usize,
    engines: Vec<&'a engine::Engine>,
    targets: assignment::Targets,
}

impl Planner {
    /// Discards the desired states of the engines and the load in progress; targets are retained.
    pub fn suspend(&mut self) {
        self.fleet = fleet::Fleet::default();
        self.load = None;
        self.last_wait = None;
    }

    /// Records that the order for `engine` in the latest plan was sent.
    pub fn mark_sent(&mut self, now: clock::Millis, engine: &id::UpstreamId) {
        self.fleet.mark_sent(now, engine);
    }

    /// Makes the decisions for the state in `view`. The caller sends the orders of the plan and
    /// calls `plan` again after the next load reports.
    pub fn plan(&mut self, now: clock::Millis, view: &view::View<'_>) -> plan::Plan {
        let deployment = view.deployment;
        let engines: Vec<&engine::Engine> = view
            .engines
            .iter()
            .filter(|engine| engine.state == engine::State::Reporting)
            .filter(|engine| {
                let mut models = deployment.models.values();
                models.any(|model| model.pool == engine.pool)
            })
            .collect();
        self.targets
            .retain(|model| deployment.models.contains_key(model));
        self.avoided.retain(|_, until| now < *until);
        let mut decisions = Vec::new();
        self.finish_load(now, &engines, &mut decisions);
        self.fleet
            .reconcile(deployment, &engines, self.load.as_ref());
        let mut wanted = Vec::new();
        for pool in deployment.pools.values() {
            if pool.kind == pool::Kind::Engine {
                let pool = self.plan_pool(now, view, pool, &engines);
                self.unload_former_versions(deployment, &pool, &mut decisions);
                if self.load.is_none() {
                    wanted.extend(self.wanted_loads(deployment, &pool));
                }
            }
        }
        self.start_load(now, view, &engines, wanted, &mut decisions);
        plan::Plan {
            orders: self.fleet.pending_orders(&engines),
            decisions,
        }
    }

    /// Ends the load in progress if it has succeeded, failed or timed out.
    fn finish_load(
        &mut self,
        now: clock::Millis,
        engines: &[&engine::Engine],
        decisions: &mut Vec<decision::Decision>,
    ) {
        let Some(load) = &self.load else {
            return;
        };
        let engine = engines.iter().find(|engine| engine.id == load.engine);
        let loaded = engine.is_some_and(|engine| {
            engine.loaded.contains(&load.weights) && engine.reported > load.ordered_at
        });
        if engine.is_some() && !loaded && now < load.deadline {
            return;
        }
        let (action, reason) = if loaded {
            (decision::Action::Loaded, decision::Reason::Report)
        } else if engine.is_none() {
            (decision::Action::LoadFailed, decision::Reason::EngineLost)
        } else {
            (decision::Action::LoadFailed, decision::Reason::TimedOut)
        };
        decisions.push(decision::Decision {
            action,
            weights: load.weights.clone(),
            engine: Some(load.engine.clone()),
            replaced: None,
            candidates: engines.len(),
            reason,
        });
        if !loaded {
            self.avoided
                .insert(load.engine.clone(), now.plus(AVOID_DURATION));
            if let Some(engine) = engine {
                self.fleet.set(&engine.id, engine.loaded.clone());
            }
        }
        self.load = None;
    }

    /// Computes the target number of replicas of each model of `pool`.
    fn plan_pool<'a>(
        &mut self,
        now: clock::Millis,
        view: &view::View<'_>,
        pool: &pool::Pool,
        engines: &[&'a engine::Engine],
    ) -> PoolPlan<'a> {
        let slots = pool.slots as usize;
        let engines: Vec<_> = engines
            .iter()
            .copied()
            .filter(|engine| engine.pool == pool.id)
            .collect();
        let mut ranges = IndexMap::new();
        for model in view.deployment.models.values() {
            if model.pool != pool.id {
                continue;
            }
            let demand = view.demand.get(&model.id).copied().unwrap_or_default();
            let needed = demand.replicas().max(model.least);
            let mut range = allotment::ReplicaRange {
                minimum: model.least,
                target: self.targets.update(now, &model.id, needed),
            };
            if self.needs_second_engine(view.deployment, &engines, model, slots) {
                range.minimum = range.minimum.max(2);
            }
            ranges.insert(model.id.clone(), range);
        }
        let targets = allotment::allot(&ranges, engines.len(), engines.len() * slots);
        PoolPlan {
            slots,
            engines,
            targets,
        }
    }

    /// Whether the version to serve can only be loaded on a second engine, because the engine with
    /// the only replica of the model has no free slot.
    fn needs_second_engine(
        &self,
        deployment: &deployment::Deployment,
        engines: &[&engine::Engine],
        model: &placed_model::PlacedModel,
        slots: usize,
    ) -> bool {
        let mut holders = engines.iter().filter_map(|engine| {
            let state = self.fleet.get(&engine.id)?;
            let is_version =
                |weights: &id::ModelId| fleet::is_version(deployment, &engine.pool, model, weights);
            state.weights.iter().any(is_version).then_some(state)
        });
        match (holders.next(), holders.next()) {
            (Some(only), None) => {
                !only.weights.contains(&model.weights) && only.weights.len() >= slots
            }
            _ => false,
        }
    }

    /// Unloads former versions of models once enough replicas of the version to serve are loaded.
    fn unload_former_versions(
        &mut self,
        deployment: &deployment::Deployment,
        pool: &PoolPlan<'_>,
        decisions: &mut Vec<decision::Decision>,
    ) {
        for engine in &pool.engines {
            let Some(state) = self.fleet.get(&engine.id) else {
                continue;
            };
            let mut weights = state.weights.clone();
            weights.retain(|found| {
                let served = fleet::served_model(deployment, &engine.pool, found);
                let Some(model) = served.filter(|model| model.weights != *found) else {
                    return true;
                };
                let target = pool.targets.get(&model.id).copied().unwrap_or_default();
                let current = self.fleet.copies(&pool.engines, &model.weights);
                let is_here = state.keeps(engine, &model.weights);
                let replaced = is_here || current >= (target as usize).max(1);
                if replaced {
                    decisions.push(decision::Decision {
                        action: decision::Action::Unload,
                        weights: found.clone(),
                        engine: Some(engine.id.clone()),
                        replaced: None,
                        candidates: current,
                        reason: decision::Reason::Version,
                    });
                }
                !replaced
            });
            self.fleet.set(&engine.id, weights);
        }
    }

    /// Returns the loads that the engines of a pool need to reach the assignment.
    fn wanted_loads<'a>(
        &self,
        deployment: &'a deployment::Deployment,
        pool: &PoolPlan<'a>,
    ) -> Vec<WantedLoad<'a>> {
        let eligible: Vec<_> = pool
            .engines
            .iter()
            .copied()
            .filter(|engine| !self.avoided.contains_key(&engine.id))
            .collect();
        let mut targets = pool.targets.clone();
        let reduced = eligible.len() < pool.engines.len();
        for (id, target) in targets.iter_mut().filter(|_| reduced) {
            // Replicas on engines excluded after a failed load still count towards the target.
            let model = deployment.models.get(id);
            let total = model.map_or(0, |model| {
                self.fleet.replicas(deployment, &pool.engines, model, None)
            });
            let eligible_count = model.map_or(0, |model| {
                self.fleet.replicas(deployment, &eligible, model, None)
            });
            *target = target.saturating_sub((total - eligible_count) as u32);
        }
        let current = self.fleet.assignment(deployment, &eligible);
        let assigned = assignment::assign(&current, pool.slots, &targets);
        let mut wanted = Vec::new();
        for engine in eligible {
            let (Some(state), Some(models)) =
                (self.fleet.get(&engine.id), assigned.get(&engine.id))
            else {
                continue;
            };
            for id in models {
                let Some(model) = deployment.models.get(id) else {
                    continue;
                };
                if state.weights.contains(&model.weights) {
                    continue;
                }
                let new = !current[&engine.id].contains(id);
                wanted.push(WantedLoad {
                    engine,
                    model,
                    slots: pool.slots,
                    replicas: self.fleet.replicas(deployment, &pool.engines, model, None),
                    reason: if new {
                        decision::Reason::Demand
                    } else {
                        decision::Reason::Version
                    },
                    assigned: models.clone(),
                });
            }
        }
        wanted
    }

    /// Orders the most urgent load that can start, or logs why none can.
    fn start_load(
        &mut self,
        now: clock::Millis,
        view: &view::View<'_>,
        engines: &[&engine::Engine],
        mut wanted: Vec<WantedLoad<'_>>,
        decisions: &mut Vec<decision::Decision>,
    ) {
        if wanted.is_empty() {
            return;
        }
        // Missing replicas take precedence over new versions, and models with few replicas over
        // others.
        wanted.sort_by_key(|wanted| (wanted.reason == decision::Reason::Version, wanted.replicas));
        let candidates = wanted.len();
        let mut blocked = None;
        for wanted in &wanted {
            let decision = |action, engine, replaced, reason| decision::Decision {
                action,
                weights: wanted.model.weights.clone(),
                engine,
                replaced,
                candidates,
                reason,
            };
            match self.check_load(now, view, engines, wanted) {
                Ok((duration, replaced)) => {
                    let engine = wanted.engine.id.clone();
                    self.order_load(now, wanted, replaced.as_ref(), duration);
                    let action = decision::Action::Load;
                    decisions.push(decision(action, Some(engine), replaced, wanted.reason));
                    self.last_wait = None;
                    return;
                }
                Err(reason) => {
                    let wait = decision(decision::Action::Wait, None, None, reason);
                    blocked.get_or_insert(wait);
                }
            }
        }
        // A wait is logged once when it begins, not in every planning round.
        if blocked != self.last_wait {
            decisions.extend(blocked.clone());
            self.last_wait = blocked;
        }
    }

    /// Returns the duration of the wanted load and the weights that it replaces, or the reason why
    /// the load cannot start now.
    fn check_load(
        &self,
        now: clock::Millis,
        view: &view::View<'_>,
        engines: &[&engine::Engine],
        wanted: &WantedLoad<'_>,
    ) -> Result<(clock::Millis, Option<id::ModelId>), decision::Reason> {
        let store = view.store.ok_or(decision::Reason::StoreUnknown)?;
        let size = store
            .sizes
            .get(&wanted.model.weights)
            .ok_or(decision::Reason::StoreUnknown)?;
        let state = self
            .fleet
            .get(&wanted.engine.id)
            .ok_or(decision::Reason::LastReplica)?;
        let replaced = if state.weights.len() < wanted.slots {
            None
        } else {
            let victim = state
                .weights
                .iter()
                .find(|found| self.is_replaceable(view.deployment, engines, wanted, found));
            Some(victim.ok_or(decision::Reason::LastReplica)?.clone())
        };
        if !self.budget.is_available(now) {
            return Err(decision::Reason::StoreRate);
        }
        let domains = budget::domain_count(view.deployment);
        Ok((budget::load_duration(*size, store.rate, domains), replaced))
    }

    /// Whether the weights `found` may be unloaded for the wanted load. The engine must not be
    /// assigned their model, unless they are a former version of the model to load, and another
    /// reporting engine must retain a replica.
    fn is_replaceable(
        &self,
        deployment: &deployment::Deployment,
        engines: &[&engine::Engine],
        wanted: &WantedLoad<'_>,
        found: &id::ModelId,
    ) -> bool {
        let engine = wanted.engine;
        let Some(served) = fleet::served_model(deployment, &engine.pool, found) else {
            return true;
        };
        let kept = wanted.assigned.contains(&served.id);
        let former = served.id == wanted.model.id;
        (!kept || former)
            && self
                .fleet
                .replicas(deployment, engines, served, Some(&engine.id))
                > 0
    }

    /// Adds the wanted weights to the desired state of the engine and records the load in progress.
    fn order_load(
        &mut self,
        now: clock::Millis,
        wanted: &WantedLoad<'_>,
        replaced: Option<&id::ModelId>,
        duration: clock::Millis,
    ) {
        let id = &wanted.engine.id;
        let state = self.fleet.get(id).cloned().unwrap_or_default();
        let mut weights = state.weights;
        weights.retain(|found| Some(found) != replaced);
        weights.insert(wanted.model.weights.clone());
        self.fleet.set(id, weights);
        self.budget.reserve(now, duration);
        self.load = Some(load::Load {
            engine: id.clone(),
            weights: wanted.model.weights.clone(),
            ordered_at: now,
            deadline: now.plus(duration).plus(duration).plus(LOAD_GRACE),
        });
    }
}
