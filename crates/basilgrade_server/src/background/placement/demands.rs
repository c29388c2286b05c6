//! Estimate of the demand for each model, from the usage by this daemon's requests.

use basilgrade_config::model::deployment;
use basilgrade_placement::demand;
use basilgrade_placement::meter;
use basilgrade_types::clock;
use basilgrade_types::id;
use basilgrade_types::rate;
use indexmap::IndexMap;

use crate::view::usages;

/// Assumed service time of a call before any call has finished.
const INITIAL_SERVICE_TIME: clock::Millis = clock::Millis::from_secs(1);

#[derive(Clone, Copy, Debug, Default)]
struct ModelMeters {
    calls: meter::Meter,
    finished: meter::Meter,
    elapsed: meter::Meter,
}

/// Usage rates of each declared model.
#[derive(Clone, Debug, Default)]
pub struct Demands {
    meters: IndexMap<id::ModelId, ModelMeters>,
}

impl Demands {
    /// Estimates the demand in the failure domain, assuming that each of its `daemons` receives as
    /// many calls as this one, because the platform's load balancer spreads callers evenly.
    pub fn update(
        &mut self,
        now: clock::Millis,
        deployment: &deployment::Deployment,
        usages: &usages::Usages,
        daemons: usize,
    ) -> IndexMap<id::ModelId, demand::Demand> {
        self.meters
            .retain(|model, _| deployment.models.contains_key(model));
        let mut demands = IndexMap::new();
        for model in deployment.models.values() {
            let usage = usages.for_model(&model.id);
            let meters = self.meters.entry(model.id.clone()).or_default();
            let (finished, elapsed) = usage.finished();
            meters.calls.observe(now, usage.started());
            meters.finished.observe(now, finished);
            meters.elapsed.observe(now, elapsed.0);
            let deadline = shortest_deadline(deployment, &model.id);
            let finished = meters.finished.rate().0;
            let service = if finished > 0.0 {
                clock::Millis((meters.elapsed.rate().0 / finished) as u64)
            } else {
                INITIAL_SERVICE_TIME
            };
            let mut upstreams = deployment.upstreams.values();
            let engine = upstreams.find(|upstream| upstream.pool == model.pool);
            let slots = deployment
                .pools
                .get(&model.pool)
                .map_or(1, |pool| pool.slots);
            let demand = demand::Demand {
                rate: rate::RequestRate(meters.calls.rate().0 * daemons as f64),
                // The measured time includes waiting at a busy engine; the deadline bounds the
                // error.
                service_time: service.min(deadline),
                deadline,
                // The models loaded on an engine share its capacity.
                capacity: engine.map_or(1, |engine| (engine.capacity / slots).max(1)),
            };
            demands.insert(model.id.clone(), demand);
        }
        demands
    }
}

/// The shortest time available to a stage that uses the model, if the stages of a pipeline share
/// its deadline equally.
fn shortest_deadline(deployment: &deployment::Deployment, model: &id::ModelId) -> clock::Millis {
    let pipelines = deployment.pipelines.values();
    pipelines
        .filter(|pipeline| pipeline.stages.iter().any(|stage| stage.uses_model(model)))
        .map(|pipeline| clock::Millis(pipeline.deadline.0 / pipeline.stages.len().max(1) as u64))
        .min()
        .unwrap_or(clock::Millis::MAX)
}
