//! Desired states of the engines of a failure domain.

use basilgrade_config::model::deployment;
use basilgrade_config::model::placed_model;
use basilgrade_types::clock;
use basilgrade_types::id;
use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::assignment;
use crate::desired_state;
use crate::engine;
use crate::load;

/// The desired state of each engine.
#[derive(Clone, Debug, Default)]
pub(crate) struct Fleet {
    states: IndexMap<id::UpstreamId, desired_state::DesiredState>,
}

/// Returns the model of which `weights` are a version, if that model is served by `pool`.
pub(crate) fn served_model<'a>(
    deployment: &'a deployment::Deployment,
    pool: &id::PoolId,
    weights: &id::ModelId,
) -> Option<&'a placed_model::PlacedModel> {
    let model = deployment.model_for_weights(weights)?;
    (model.pool == *pool).then_some(model)
}

/// Whether `weights` are a version of `model` and `model` is served by `pool`.
pub(crate) fn is_version(
    deployment: &deployment::Deployment,
    pool: &id::PoolId,
    model: &placed_model::PlacedModel,
    weights: &id::ModelId,
) -> bool {
    // Comparing the name prefix first avoids searching all models for most pairs.
    model.has_version(weights)
        && served_model(deployment, pool, weights).is_some_and(|found| found.id == model.id)
}

impl Fleet {
    pub(crate) fn get(&self, engine: &id::UpstreamId) -> Option<&desired_state::DesiredState> {
        self.states.get(engine)
    }

    /// Replaces the desired state of an engine by `weights`.
    pub(crate) fn set(&mut self, engine: &id::UpstreamId, weights: IndexSet<id::ModelId>) {
        self.states.entry(engine.clone()).or_default().set(weights);
    }

    /// Records that the desired state of an engine was sent at `now`, unless it was already sent
    /// before.
    pub(crate) fn mark_sent(&mut self, now: clock::Millis, engine: &id::UpstreamId) {
        if let Some(state) = self.states.get_mut(engine) {
            state.sent.get_or_insert(now);
        }
    }

    /// Aligns the desired states with the load reports of `engines`, which are all reporting.
    ///
    /// The desired state of a new engine is what the engine reports, which also supersedes an order
    /// of a former writer that is still in progress. Weights that an engine has lost are removed
    /// from its desired state, so that reloading them is subject to the same limits as any load.
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
            if !state.is_reported(engine) || load.is_some_and(|load| load.engine == engine.id) {
                continue;
            }
            let mut weights = state.weights.clone();
            weights.retain(|found| engine.loaded.contains(found));
            for extra in engine.loaded.difference(&state.weights) {
                // The only replica is kept, even if an order of another writer loaded it.
                let model = served_model(deployment, &engine.pool, extra);
                let is_only =
                    model.is_some_and(|model| self.replicas(deployment, engines, model, None) == 0);
                if is_only {
                    weights.insert(extra.clone());
                }
            }
            self.set(&engine.id, weights);
        }
    }

    /// Number of engines other than `except` that have loaded any version of `model` and are to
    /// retain it.
    pub(crate) fn replicas(
        &self,
        deployment: &deployment::Deployment,
        engines: &[&engine::Engine],
        model: &placed_model::PlacedModel,
        except: Option<&id::UpstreamId>,
    ) -> usize {
        self.count(engines, except, |engine, weights| {
            is_version(deployment, &engine.pool, model, weights)
        })
    }

    /// Number of engines that have loaded exactly `weights` and are to retain them.
    pub(crate) fn copies(&self, engines: &[&engine::Engine], weights: &id::ModelId) -> usize {
        self.count(engines, None, |_, found| found == weights)
    }

    fn count(
        &self,
        engines: &[&engine::Engine],
        except: Option<&id::UpstreamId>,
        matches: impl Fn(&engine::Engine, &id::ModelId) -> bool,
    ) -> usize {
        let has = |engine: &engine::Engine| {
            let state = self.states.get(&engine.id);
            state.is_some_and(|state| {
                let mut loaded = engine.loaded.iter();
                loaded.any(|weights| state.keeps(engine, weights) && matches(engine, weights))
            })
        };
        engines
            .iter()
            .filter(|engine| Some(&engine.id) != except && has(engine))
            .count()
    }

    /// The models in the desired states of `engines`.
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
                    let model = served_model(deployment, &engine.pool, weights);
                    // Weights of no declared model occupy a slot until another model needs it.
                    model.map_or_else(|| weights.clone(), |model| model.id.clone())
                })
                .collect()
        };
        engines
            .iter()
            .map(|engine| (engine.id.clone(), models(engine)))
            .collect()
    }

    /// Orders for the engines whose load report does not show their desired state.
    pub(crate) fn pending_orders(
        &self,
        engines: &[&engine::Engine],
    ) -> Vec<(id::UpstreamId, Vec<id::ModelId>)> {
        engines
            .iter()
            .filter_map(|engine| {
                let state = self.states.get(&engine.id)?;
                let reached = state.is_reported(engine) && state.weights == engine.loaded;
                let weights = state.weights.iter().cloned().collect();
                (!reached).then(|| (engine.id.clone(), weights))
            })
            .collect()
    }
}
