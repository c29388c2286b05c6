//! Target number of replicas of each model, with hysteresis.

use basilgrade_types::clock;
use basilgrade_types::id;
use indexmap::IndexMap;

/// Time for which fewer replicas must be sufficient before a target is lowered. A load occupies the
/// weight store for tens of seconds, so replicas that are needed again within minutes are kept.
pub const LOWERING_DELAY: clock::Millis = clock::Millis::from_secs(300);

/// A period in which a model needs fewer replicas than its target.
#[derive(Clone, Copy, Debug)]
struct Excess {
    since: clock::Millis,
    /// Highest number of replicas needed since the start of the period.
    peak: u32,
}

#[derive(Clone, Copy, Debug, Default)]
struct Target {
    replicas: u32,
    excess: Option<Excess>,
}

/// Targets with hysteresis: a target is raised at once and lowered after [`LOWERING_DELAY`].
#[derive(Clone, Debug, Default)]
pub struct Targets {
    targets: IndexMap<id::ModelId, Target>,
}

impl Targets {
    /// Updates and returns the target of a model that needs `needed` replicas at `now`.
    pub fn update(&mut self, now: clock::Millis, model: &id::ModelId, needed: u32) -> u32 {
        let target = self.targets.entry(model.clone()).or_default();
        if needed >= target.replicas {
            target.replicas = needed;
            target.excess = None;
            return needed;
        }
        let excess = target.excess.get_or_insert(Excess {
            since: now,
            peak: needed,
        });
        excess.peak = excess.peak.max(needed);
        if now.since(excess.since) >= LOWERING_DELAY {
            target.replicas = excess.peak;
            target.excess = None;
        }
        target.replicas
    }

    /// Removes the targets of models for which `is_declared` returns false.
    pub fn retain(&mut self, is_declared: impl Fn(&id::ModelId) -> bool) {
        self.targets.retain(|model, _| is_declared(model));
    }
}
