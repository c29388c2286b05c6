//! Use of all models.

use std::sync;

use basilgrade_types::id;
use indexmap::IndexMap;

use crate::view::usage;

/// Hands out the one [`usage::Usage`] of each model.
#[derive(Debug, Default)]
pub struct Usages {
    known: arc_swap::ArcSwap<IndexMap<id::ModelId, sync::Arc<usage::Usage>>>,
}

impl Usages {
    /// The use of `model`, created on first use.
    pub fn of(&self, model: &id::ModelId) -> sync::Arc<usage::Usage> {
        if let Some(found) = self.known.load().get(model) {
            return sync::Arc::clone(found);
        }
        let created = sync::Arc::new(usage::Usage::default());
        self.known.rcu(|known| {
            let mut known = IndexMap::clone(known);
            known
                .entry(model.clone())
                .or_insert_with(|| sync::Arc::clone(&created));
            known
        });
        self.known.load().get(model).cloned().unwrap_or(created)
    }

    /// Forgets models that no stage uses.
    pub fn retain(&self, used: impl Fn(&id::ModelId) -> bool) {
        self.known.rcu(|known| {
            let mut known = IndexMap::clone(known);
            known.retain(|model, _| used(model));
            known
        });
    }
}
