//! Assigns models to the engines of a pool.

use basilgrade_types::id;
use indexmap::IndexMap;
use indexmap::IndexSet;

/// The models of each engine.
pub type Assignment = IndexMap<id::UpstreamId, IndexSet<id::ModelId>>;

/// Replicas of each model.
pub type Targets = IndexMap<id::ModelId, u32>;

/// Reaches `targets` from `current` with as few loads as possible.
///
/// A model stays where it is. Replicas above the target stay as well until another model needs the
/// slot, because unloading them early gains nothing and may cost a load later. If only engines that
/// already have a model have room for it, another model is moved there to make room elsewhere.
pub fn assign(current: &Assignment, slots: usize, targets: &Targets) -> Assignment {
    let mut assignment = current.clone();
    let mut open: Vec<&id::ModelId> = targets.keys().collect();
    loop {
        let counts = counts(&assignment);
        let replicas = |model: &id::ModelId| counts.get(model).copied().unwrap_or_default();
        open.retain(|model| replicas(model) < target(targets, model));
        // The model with the smallest share of its target comes first.
        let next = open.iter().copied().min_by_key(|model| {
            let share = replicas(model) * 1000 / target(targets, model);
            (share, (*model).clone())
        });
        let Some(model) = next else {
            return assignment;
        };
        let placed = take_room(&mut assignment, slots, targets, model, None)
            || make_room(&mut assignment, slots, targets, model);
        if !placed {
            open.retain(|found| *found != model);
        }
    }
}

fn counts(assignment: &Assignment) -> Targets {
    let mut counts = Targets::new();
    for model in assignment.values().flatten() {
        if let Some(count) = counts.get_mut(model) {
            *count += 1;
        } else {
            counts.insert(model.clone(), 1);
        }
    }
    counts
}

fn target(targets: &Targets, model: &id::ModelId) -> u32 {
    targets.get(model).copied().unwrap_or_default()
}

/// Puts `model` on an engine other than `except` that has a free slot or a model with more replicas
/// than its target.
fn take_room(
    assignment: &mut Assignment,
    slots: usize,
    targets: &Targets,
    model: &id::ModelId,
    except: Option<&id::UpstreamId>,
) -> bool {
    let others = |engine: &id::UpstreamId, models: &IndexSet<id::ModelId>| {
        Some(engine) != except && !models.contains(model)
    };
    let free = assignment
        .iter_mut()
        .filter(|(engine, models)| others(engine, models) && models.len() < slots)
        .min_by_key(|(_, models)| models.len());
    if let Some((_, models)) = free {
        models.insert(model.clone());
        return true;
    }
    let counts = counts(assignment);
    let surplus = |found: &id::ModelId| {
        let replicas = counts.get(found).copied().unwrap_or_default();
        let spare = replicas.saturating_sub(target(targets, found));
        (spare > 0).then_some(spare)
    };
    let victim = assignment
        .iter()
        .filter(|(engine, models)| others(engine, models))
        .flat_map(|(engine, models)| models.iter().map(move |found| (engine, found)))
        .filter_map(|(engine, found)| Some((surplus(found)?, engine.clone(), found.clone())))
        .min_by_key(|(spare, ..)| std::cmp::Reverse(*spare));
    let Some((_, engine, victim)) = victim else {
        return false;
    };
    replace(&mut assignment[&engine], &victim, model);
    true
}

/// Moves a model from an engine without `model` to another one with room, and puts `model` there.
fn make_room(
    assignment: &mut Assignment,
    slots: usize,
    targets: &Targets,
    model: &id::ModelId,
) -> bool {
    let moves: Vec<(id::UpstreamId, id::ModelId)> = assignment
        .iter()
        .filter(|(_, models)| !models.contains(model))
        .flat_map(|(engine, models)| models.iter().map(|found| (engine.clone(), found.clone())))
        .collect();
    for (engine, moved) in moves {
        if take_room(assignment, slots, targets, &moved, Some(&engine)) {
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
