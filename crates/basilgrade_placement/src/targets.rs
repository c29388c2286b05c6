//! Target replicas of each model.

use basilgrade_types::clock;
use basilgrade_types::id;
use indexmap::IndexMap;

/// How long fewer replicas have to be enough before the target is lowered. A load takes tens of
/// seconds of the weight store's rate, so demand that returns within minutes is not worth a move.
pub const LOWERING_DELAY: clock::Millis = clock::Millis::from_secs(300);

#[derive(Clone, Copy, Debug)]
struct Excess {
    since: clock::Millis,
    /// The most replicas needed since then.
    peak: u32,
}

#[derive(Clone, Copy, Debug, Default)]
struct Target {
    replicas: u32,
    excess: Option<Excess>,
}

/// Targets with hysteresis: raised at once, lowered after [`LOWERING_DELAY`].
#[derive(Clone, Debug, Default)]
pub struct Targets {
    targets: IndexMap<id::ModelId, Target>,
}

impl Targets {
    /// The target of a model that needs `needed` replicas now.
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

    /// Forgets models that are no longer declared.
    pub fn retain(&mut self, declared: impl Fn(&id::ModelId) -> bool) {
        self.targets.retain(|model, _| declared(model));
    }
}
