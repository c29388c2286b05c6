//! Assignment of models to the engines of a pool.

use basilgrade_types::id;
use indexmap::IndexMap;
use indexmap::IndexSet;

/// The models that each engine is to have loaded.
pub type Assignment = IndexMap<id::UpstreamId, IndexSet<id::ModelId>>;

/// Number of replicas of each model.
pub type Targets = IndexMap<id::ModelId, u32>;

/// Computes an assignment that reaches `targets` from `current` with as few loads as possible.
///
/// A model stays on its engine. Replicas above the target also stay until another model needs the
/// slot, because unloading them early gains nothing and may cost a load later. If the only engines
/// with a slot for a model already have that model, a different model is moved to one of them and
/// its former slot is used.
pub fn assign(current: &Assignment, slots: usize, targets: &Targets) -> Assignment {
    let mut assignment = current.clone();
    let mut below_target: Vec<&id::ModelId> = targets.keys().collect();
    loop {
        let replica_counts = replica_counts(&assignment);
        let replicas = |model: &id::ModelId| replica_counts.get(model).copied().unwrap_or_default();
        below_target.retain(|model| replicas(model) < target(targets, model));
        // Models are placed in ascending order of the share of their target that is reached.
        let next_model = below_target.iter().copied().min_by_key(|model| {
            let share = replicas(model) * 1000 / target(targets, model);
            (share, (*model).clone())
        });
        let Some(model) = next_model else {
            return assignment;
        };
        let placed = place(&mut assignment, slots, targets, model, None)
            || place_by_moving(&mut assignment, slots, targets, model);
        if !placed {
            below_target.retain(|other| *other != model);
        }
    }
}

fn replica_counts(assignment: &Assignment) -> Targets {
    let mut replica_counts = Targets::new();
    for model in assignment.values().flatten() {
        if let Some(count) = replica_counts.get_mut(model) {
            *count += 1;
        } else {
            replica_counts.insert(model.clone(), 1);
        }
    }
    replica_counts
}

fn target(targets: &Targets, model: &id::ModelId) -> u32 {
    targets.get(model).copied().unwrap_or_default()
}

/// Places `model` on an engine other than `except` that has a free slot, or else replaces a model
/// that has more replicas than its target. Returns whether `model` was placed.
fn place(
    assignment: &mut Assignment,
    slots: usize,
    targets: &Targets,
    model: &id::ModelId,
    except: Option<&id::UpstreamId>,
) -> bool {
    let is_eligible = |engine: &id::UpstreamId, models: &IndexSet<id::ModelId>| {
        Some(engine) != except && !models.contains(model)
    };
    let free_engine = assignment
        .iter_mut()
        .filter(|(engine, models)| is_eligible(engine, models) && models.len() < slots)
        .min_by_key(|(_, models)| models.len());
    if let Some((_, models)) = free_engine {
        models.insert(model.clone());
        return true;
    }
    let replica_counts = replica_counts(assignment);
    let excess_of = |other: &id::ModelId| {
        let replicas = replica_counts.get(other).copied().unwrap_or_default();
        let excess = replicas.saturating_sub(target(targets, other));
        (excess > 0).then_some(excess)
    };
    let victim = assignment
        .iter()
        .filter(|(engine, models)| is_eligible(engine, models))
        .flat_map(|(engine, models)| models.iter().map(move |other| (engine, other)))
        .filter_map(|(engine, other)| Some((excess_of(other)?, engine.clone(), other.clone())))
        .min_by_key(|(excess, ..)| std::cmp::Reverse(*excess));
    let Some((_, engine, victim)) = victim else {
        return false;
    };
    replace(&mut assignment[&engine], &victim, model);
    true
}

/// Moves another model to a different engine with a slot for it and places `model` in the slot
/// that becomes free. Returns whether `model` was placed.
fn place_by_moving(
    assignment: &mut Assignment,
    slots: usize,
    targets: &Targets,
    model: &id::ModelId,
) -> bool {
    let candidates: Vec<(id::UpstreamId, id::ModelId)> = assignment
        .iter()
        .filter(|(_, models)| !models.contains(model))
        .flat_map(|(engine, models)| models.iter().map(|other| (engine.clone(), other.clone())))
        .collect();
    for (engine, moved) in candidates {
        if place(assignment, slots, targets, &moved, Some(&engine)) {
            replace(&mut assignment[&engine], &moved, model);
            return true;
        }
    }
    false
}

fn replace(models: &mut IndexSet<id::ModelId>, old: &id::ModelId, new: &id::ModelId) {
    models.shift_remove(old);
    models.insert(new.clone());
}
