//! The engines of a failure domain with what they were ordered to have.

use basilgrade_config::model::deployment;
use basilgrade_config::model::placed;
use basilgrade_types::clock;
use basilgrade_types::id;
use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::assignment;
use crate::engine;
use crate::load;
use crate::ordered;

/// Desired states by engine.
#[derive(Clone, Debug, Default)]
pub(crate) struct Fleet {
    states: IndexMap<id::UpstreamId, ordered::Ordered>,
}

/// The model of which `weights` are a version, if engines of `pool` serve it.
pub(crate) fn owner<'a>(
    deployment: &'a deployment::Deployment,
    pool: &id::PoolId,
    weights: &id::ModelId,
) -> Option<&'a placed::PlacedModel> {
    let model = deployment.model_of(weights)?;
    (model.pool == *pool).then_some(model)
}

/// Whether `weights` are a version of `model`, if engines of `pool` serve it.
pub(crate) fn owns(
    deployment: &deployment::Deployment,
    pool: &id::PoolId,
    model: &placed::PlacedModel,
    weights: &id::ModelId,
) -> bool {
    // The prefix rules out most pairs, which spares the search among all models.
    model.has_version(weights)
        && owner(deployment, pool, weights).is_some_and(|found| found.id == model.id)
}

impl Fleet {
    /// The desired state of an engine.
    pub(crate) fn get(&self, engine: &id::UpstreamId) -> Option<&ordered::Ordered> {
        self.states.get(engine)
    }

    /// Replaces the desired state of an engine.
    pub(crate) fn set(&mut self, engine: &id::UpstreamId, weights: IndexSet<id::ModelId>) {
        self.states.entry(engine.clone()).or_default().set(weights);
    }

    /// Notes that the desired state of an engine was sent.
    pub(crate) fn mark_sent(&mut self, now: clock::Millis, engine: &id::UpstreamId) {
        if let Some(state) = self.states.get_mut(engine) {
            state.sent.get_or_insert(now);
        }
    }

    /// Compares desired states with the reports of `engines`, the ones that can be counted on.
    ///
    /// An engine without desired state is to keep what it reports, which also ends an order of an
    /// earlier writer that it is still carrying out. Weights that an engine has lost are dropped
    /// from its desired state, so that loading them again is subject to the same limits as any load.
    pub(crate) fn reconcile(
        &mut self,
        deployment: &deployment::Deployment,
        engines: &[&engine::Engine],
        load: Option<&load::Load>,
    ) {
        self.states
            .retain(|id, _| engines.iter().any(|engine| engine.id == *id));
        for engine in engines {
            let Some(state) = self.states.get(&engine.id) else {
                self.set(&engine.id, engine.loaded.clone());
                continue;
            };
            if !state.is_seen(engine) || load.is_some_and(|load| load.engine == engine.id) {
                continue;
            }
            let mut weights = state.weights.clone();
            weights.retain(|found| engine.loaded.contains(found));
            for extra in engine.loaded.difference(&state.weights) {
                // The only replica stays, even if it was loaded by an order of another writer.
                let owner = owner(deployment, &engine.pool, extra);
                let only =
                    owner.is_some_and(|model| self.keepers(deployment, engines, model, None) == 0);
                if only {
                    weights.insert(extra.clone());
                }
            }
            self.set(&engine.id, weights);
        }
    }

    /// The number of engines, without `except`, that have a version of `model` and keep it.
    pub(crate) fn keepers(
        &self,
        deployment: &deployment::Deployment,
        engines: &[&engine::Engine],
        model: &placed::PlacedModel,
        except: Option<&id::UpstreamId>,
    ) -> usize {
        self.count(engines, except, |engine, weights| {
            owns(deployment, &engine.pool, model, weights)
        })
    }

    /// The number of engines that have exactly `weights` and keep them.
    pub(crate) fn current(&self, engines: &[&engine::Engine], weights: &id::ModelId) -> usize {
        self.count(engines, None, |_, found| found == weights)
    }

    fn count(
        &self,
        engines: &[&engine::Engine],
        except: Option<&id::UpstreamId>,
        fits: impl Fn(&engine::Engine, &id::ModelId) -> bool,
    ) -> usize {
        let has = |engine: &engine::Engine| {
            let state = self.states.get(&engine.id);
            state.is_some_and(|state| {
                let mut loaded = engine.loaded.iter();
                loaded.any(|weights| state.keeps(engine, weights) && fits(engine, weights))
            })
        };
        engines
            .iter()
            .filter(|engine| Some(&engine.id) != except && has(engine))
            .count()
    }

    /// The models that the desired states of `engines` comprise.
    pub(crate) fn assignment(
        &self,
        deployment: &deployment::Deployment,
        engines: &[&engine::Engine],
    ) -> assignment::Assignment {
        let models = |engine: &engine::Engine| {
            let state = self.states.get(&engine.id);
            let weights = state.into_iter().flat_map(|state| &state.weights);
            weights
                .map(|weights| {
                    let owner = owner(deployment, &engine.pool, weights);
                    // Weights without owner take a slot under their own name until it is needed.
                    owner.map_or_else(|| weights.clone(), |model| model.id.clone())
                })
                .collect()
        };
        engines
            .iter()
            .map(|engine| (engine.id.clone(), models(engine)))
            .collect()
    }

    /// Engines whose report does not show their desired state.
    pub(crate) fn due(
        &self,
        engines: &[&engine::Engine],
    ) -> Vec<(id::UpstreamId, Vec<id::ModelId>)> {
        engines
            .iter()
            .filter_map(|engine| {
                let state = self.states.get(&engine.id)?;
                let reached = state.is_seen(engine) && state.weights == engine.loaded;
                let weights = state.weights.iter().cloned().collect();
                (!reached).then(|| (engine.id.clone(), weights))
            })
            .collect()
    }
}
