//! Usage of all models.

use std::sync;

use basilgrade_types::id;
use indexmap::IndexMap;

use crate::view::usage;

/// Holds one shared [`usage::Usage`] for each model.
#[derive(Debug, Default)]
pub struct Usages {
    by_id: arc_swap::ArcSwap<IndexMap<id::ModelId, sync::Arc<usage::Usage>>>,
}

impl Usages {
    /// The usage of `model`, created on first use.
    pub fn for_model(&self, model: &id::ModelId) -> sync::Arc<usage::Usage> {
        if let Some(found) = self.by_id.load().get(model) {
            return sync::Arc::clone(found);
        }
        let created = sync::Arc::new(usage::Usage::default());
        self.by_id.rcu(|by_id| {
            let mut by_id = IndexMap::clone(by_id);
            by_id
                .entry(model.clone())
                .or_insert_with(|| sync::Arc::clone(&created));
            by_id
        });
        self.by_id.load().get(model).cloned().unwrap_or(created)
    }

    /// Removes models that no stage uses.
    pub fn retain(&self, used: impl Fn(&id::ModelId) -> bool) {
        self.by_id.rcu(|by_id| {
            let mut by_id = IndexMap::clone(by_id);
            by_id.retain(|model, _| used(model));
            by_id
        });
    }
}
