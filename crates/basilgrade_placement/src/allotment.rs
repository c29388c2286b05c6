//! Allots the engine slots of a pool to the models that the pool serves.

use basilgrade_types::id;
use indexmap::IndexMap;

/// The replicas that a model is to have.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ReplicaRange {
    /// Declared minimum number of replicas; applies even without demand.
    pub minimum: u32,
    /// Number of replicas that the demand for the model needs.
    pub target: u32,
}

/// Returns the number of replicas of each model when `slots` slots on `engines` engines are shared.
///
/// Declared minimums are satisfied first, in rounds of one replica per model. The remaining slots
/// go one by one to the model with the highest target per replica.
pub fn allot(
    ranges: &IndexMap<id::ModelId, ReplicaRange>,
    engines: usize,
    slots: usize,
) -> IndexMap<id::ModelId, u32> {
    let max_replicas = engines as u32;
    let mut free_slots = slots;
    let mut allotted: IndexMap<id::ModelId, u32> =
        ranges.keys().map(|model| (model.clone(), 0)).collect();
    let rounds = ranges
        .values()
        .map(|range| range.minimum.min(max_replicas))
        .max();
    for round in 0..rounds.unwrap_or_default() {
        for (model, range) in ranges {
            if range.minimum.min(max_replicas) > round && free_slots > 0 {
                free_slots -= 1;
                allotted[model] += 1;
            }
        }
    }
    while free_slots > 0 {
        let next_model = ranges
            .iter()
            .map(|(model, range)| (model, range.target.min(max_replicas), allotted[model]))
            .filter(|(_, target, replicas)| replicas < target)
            .max_by_key(|(model, target, replicas)| {
                // Integer per-mille values compare exactly; ties go to the first model by name.
                let target_per_replica = u64::from(*target) * 1000 / u64::from(replicas + 1);
                (target_per_replica, std::cmp::Reverse((*model).clone()))
            });
        let Some((model, ..)) = next_model else {
            break;
        };
        free_slots -= 1;
        allotted[model] += 1;
    }
    allotted
}
