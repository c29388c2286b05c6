//! Shares the slots of a pool among its models.

use basilgrade_types::id;
use indexmap::IndexMap;

/// What a model asks for.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ReplicaRange {
    /// Least number of replicas, as declared.
    pub least: u32,
    /// Replicas that its demand needs.
    pub target: u32,
}

/// The replicas of each model if `slots` on `engines` engines are shared.
///
/// The declared least numbers come first, one replica of each model at a time. The rest goes, one
/// by one, to the model whose demand per replica is highest.
pub fn allocate(
    claims: &IndexMap<id::ModelId, ReplicaRange>,
    engines: usize,
    slots: usize,
) -> IndexMap<id::ModelId, u32> {
    let limit = engines as u32;
    let mut left = slots;
    let mut allocated: IndexMap<id::ModelId, u32> =
        claims.keys().map(|model| (model.clone(), 0)).collect();
    let most = claims.values().map(|claim| claim.least.min(limit)).max();
    for round in 0..most.unwrap_or_default() {
        for (model, claim) in claims {
            if claim.least.min(limit) > round && left > 0 {
                left -= 1;
                allocated[model] += 1;
            }
        }
    }
    while left > 0 {
        let neediest = claims
            .iter()
            .map(|(model, claim)| (model, claim.target.min(limit), allocated[model]))
            .filter(|(_, target, given)| given < target)
            .max_by_key(|(model, target, given)| {
                // Per mille, so that the comparison is exact; the first of equals wins.
                let pressure = u64::from(*target) * 1000 / u64::from(given + 1);
                (pressure, std::cmp::Reverse((*model).clone()))
            });
        let Some((model, ..)) = neediest else {
            break;
        };
        left -= 1;
        allocated[model] += 1;
    }
    allocated
}
