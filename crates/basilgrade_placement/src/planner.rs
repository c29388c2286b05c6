//! Decides what the engines of one failure domain are to have loaded.

use basilgrade_config::model::deployment;
use basilgrade_config::model::placed;
use basilgrade_config::model::pool;
use basilgrade_types::clock;
use basilgrade_types::id;
use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::allocation;
use crate::assignment;
use crate::budget;
use crate::decision;
use crate::engine;
use crate::fleet;
use crate::load;
use crate::plan;
use crate::targets;
use crate::view;

/// Time that a load may take beyond the delivery of the weights: two poll rounds of load reports,
/// initialisation of the engine, and stores that name no rate.
const LOAD_GRACE: clock::Millis = clock::Millis::from_secs(60);

/// How long an engine that did not finish a load gets no other one.
const AVOID_SPAN: clock::Millis = clock::Millis::from_secs(300);

/// The placement of one failure domain.
///
/// Only the holder of the domain's lease runs it; [`Planner::suspend`] is called when the lease is
/// lost, because another writer may then have changed what the engines have.
#[derive(Clone, Debug, Default)]
pub struct Planner {
    targets: targets::Targets,
    fleet: fleet::Fleet,
    load: Option<load::Load>,
    budget: budget::Budget,
    avoided: IndexMap<id::UpstreamId, clock::Millis>,
    waiting: Option<decision::Decision>,
}

/// A load that would bring the domain nearer to its targets.
#[derive(Clone, Debug)]
struct Wanted<'a> {
    engine: &'a engine::Engine,
    model: &'a placed::PlacedModel,
    slots: usize,
    keepers: usize,
    reason: decision::Reason,
    assigned: IndexSet<id::ModelId>,
}

/// The engines that can be counted on in a pool, with the replicas that its models are to have.
struct Part<'a> {
    slots: usize,
    engines: Vec<&'a engine::Engine>,
    targets: assignment::Targets,
}

impl Planner {
    /// Forgets what the engines were ordered to have; targets are kept.
    pub fn suspend(&mut self) {
        self.fleet = fleet::Fleet::default();
        self.load = None;
        self.waiting = None;
    }

    /// Notes that an order of the latest plan was sent to `engine`.
    pub fn mark_sent(&mut self, now: clock::Millis, engine: &id::UpstreamId) {
        self.fleet.mark_sent(now, engine);
    }

    /// Decides on the basis of `view`; the caller sends the orders of the plan and calls again
    /// after the next load reports.
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
                let part = self.part(now, view, pool, &engines);
                self.unload_old(deployment, &part, &mut decisions);
                if self.load.is_none() {
                    wanted.extend(self.wanted(deployment, &part));
                }
            }
        }
        self.start_load(now, view, &engines, wanted, &mut decisions);
        plan::Plan {
            orders: self.fleet.due(&engines),
            decisions,
        }
    }

    /// Ends the load in progress if its outcome is known.
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
            engine.loaded.contains(&load.weights) && engine.reported > load.started
        });
        if engine.is_some() && !loaded && now < load.limit {
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
                .insert(load.engine.clone(), now.plus(AVOID_SPAN));
            if let Some(engine) = engine {
                self.fleet.set(&engine.id, engine.loaded.clone());
            }
        }
        self.load = None;
    }

    fn part<'a>(
        &mut self,
        now: clock::Millis,
        view: &view::View<'_>,
        pool: &pool::Pool,
        engines: &[&'a engine::Engine],
    ) -> Part<'a> {
        let slots = pool.slots as usize;
        let engines: Vec<_> = engines
            .iter()
            .copied()
            .filter(|engine| engine.pool == pool.id)
            .collect();
        let mut claims = IndexMap::new();
        for model in view.deployment.models.values() {
            if model.pool != pool.id {
                continue;
            }
            let demand = view.demand.get(&model.id).copied().unwrap_or_default();
            let needed = demand.replicas().max(model.least);
            let mut claim = allocation::ReplicaRange {
                least: model.least,
                target: self.targets.update(now, &model.id, needed),
            };
            if self.needs_second(view.deployment, &engines, model, slots) {
                claim.least = claim.least.max(2);
            }
            claims.insert(model.id.clone(), claim);
        }
        let targets = allocation::allocate(&claims, engines.len(), engines.len() * slots);
        Part {
            slots,
            engines,
            targets,
        }
    }

    /// Whether the new version of a model can only be loaded on a second engine, because the engine
    /// with the only replica has no free slot.
    fn needs_second(
        &self,
        deployment: &deployment::Deployment,
        engines: &[&engine::Engine],
        model: &placed::PlacedModel,
        slots: usize,
    ) -> bool {
        let mut holders = engines.iter().filter_map(|engine| {
            let state = self.fleet.get(&engine.id)?;
            let owns =
                |weights: &id::ModelId| fleet::owns(deployment, &engine.pool, model, weights);
            state.weights.iter().any(owns).then_some(state)
        });
        match (holders.next(), holders.next()) {
            (Some(only), None) => {
                !only.weights.contains(&model.weights) && only.weights.len() >= slots
            }
            _ => false,
        }
    }

    /// Unloads former versions that the version to serve has replaced.
    fn unload_old(
        &mut self,
        deployment: &deployment::Deployment,
        part: &Part<'_>,
        decisions: &mut Vec<decision::Decision>,
    ) {
        for engine in &part.engines {
            let Some(state) = self.fleet.get(&engine.id) else {
                continue;
            };
            let mut weights = state.weights.clone();
            weights.retain(|found| {
                let owner = fleet::owner(deployment, &engine.pool, found);
                let Some(model) = owner.filter(|model| model.weights != *found) else {
                    return true;
                };
                let target = part.targets.get(&model.id).copied().unwrap_or_default();
                let current = self.fleet.current(&part.engines, &model.weights);
                let here = state.keeps(engine, &model.weights);
                let replaced = here || current >= (target as usize).max(1);
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

    /// Loads that bring the engines of a pool nearer to the assignment.
    fn wanted<'a>(
        &self,
        deployment: &'a deployment::Deployment,
        part: &Part<'a>,
    ) -> Vec<Wanted<'a>> {
        let eligible: Vec<_> = part
            .engines
            .iter()
            .copied()
            .filter(|engine| !self.avoided.contains_key(&engine.id))
            .collect();
        let mut targets = part.targets.clone();
        let reduced = eligible.len() < part.engines.len();
        for (id, target) in targets.iter_mut().filter(|_| reduced) {
            // Replicas on engines that get no loads count towards the target.
            let model = deployment.models.get(id);
            let all = model.map_or(0, |model| {
                self.fleet.keepers(deployment, &part.engines, model, None)
            });
            let here = model.map_or(0, |model| {
                self.fleet.keepers(deployment, &eligible, model, None)
            });
            *target = target.saturating_sub((all - here) as u32);
        }
        let current = self.fleet.assignment(deployment, &eligible);
        let assigned = assignment::assign(&current, part.slots, &targets);
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
                wanted.push(Wanted {
                    engine,
                    model,
                    slots: part.slots,
                    keepers: self.fleet.keepers(deployment, &part.engines, model, None),
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

    /// Starts the most urgent load that is possible, if none is in progress.
    fn start_load(
        &mut self,
        now: clock::Millis,
        view: &view::View<'_>,
        engines: &[&engine::Engine],
        mut wanted: Vec<Wanted<'_>>,
        decisions: &mut Vec<decision::Decision>,
    ) {
        if wanted.is_empty() {
            return;
        }
        // Models with the fewest replicas come first; new versions wait for missing replicas.
        wanted.sort_by_key(|wanted| (wanted.reason == decision::Reason::Version, wanted.keepers));
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
            match self.check(now, view, engines, wanted) {
                Ok((span, replaced)) => {
                    let engine = wanted.engine.id.clone();
                    self.order_load(now, wanted, replaced.as_ref(), span);
                    let action = decision::Action::Load;
                    decisions.push(decision(action, Some(engine), replaced, wanted.reason));
                    self.waiting = None;
                    return;
                }
                Err(reason) => {
                    let wait = decision(decision::Action::Wait, None, None, reason);
                    blocked.get_or_insert(wait);
                }
            }
        }
        // A wait is reported when it begins, not in every round.
        if blocked != self.waiting {
            decisions.extend(blocked.clone());
            self.waiting = blocked;
        }
    }

    /// The time that a load takes and what it replaces, or why it is not possible now.
    fn check(
        &self,
        now: clock::Millis,
        view: &view::View<'_>,
        engines: &[&engine::Engine],
        wanted: &Wanted<'_>,
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
        if !self.budget.is_ready(now) {
            return Err(decision::Reason::StoreRate);
        }
        let parts = budget::parts(view.deployment);
        Ok((budget::span(*size, store.rate, parts), replaced))
    }

    /// Whether `found` may be unloaded for the wanted load: the engine is not to serve it, and
    /// another engine that can be counted on keeps a replica.
    fn is_replaceable(
        &self,
        deployment: &deployment::Deployment,
        engines: &[&engine::Engine],
        wanted: &Wanted<'_>,
        found: &id::ModelId,
    ) -> bool {
        let engine = wanted.engine;
        let Some(owner) = fleet::owner(deployment, &engine.pool, found) else {
            return true;
        };
        let kept = wanted.assigned.contains(&owner.id);
        let former = owner.id == wanted.model.id;
        (!kept || former)
            && self
                .fleet
                .keepers(deployment, engines, owner, Some(&engine.id))
                > 0
    }

    fn order_load(
        &mut self,
        now: clock::Millis,
        wanted: &Wanted<'_>,
        replaced: Option<&id::ModelId>,
        span: clock::Millis,
    ) {
        let id = &wanted.engine.id;
        let state = self.fleet.get(id).cloned().unwrap_or_default();
        let mut weights = state.weights;
        weights.retain(|found| Some(found) != replaced);
        weights.insert(wanted.model.weights.clone());
        self.fleet.set(id, weights);
        self.budget.take(now, span);
        self.load = Some(load::Load {
            engine: id.clone(),
            weights: wanted.model.weights.clone(),
            started: now,
            limit: now.plus(span).plus(span).plus(LOAD_GRACE),
        });
    }
}
