//! The state that an engine is to reach.

use basilgrade_types::clock;
use basilgrade_types::id;
use indexmap::IndexSet;

use crate::engine;

/// The desired state of one engine.
#[derive(Clone, Debug, Default)]
pub(crate) struct Ordered {
    /// Weights to have loaded.
    pub(crate) weights: IndexSet<id::ModelId>,
    /// When the state was first ordered; `None` if it was not sent yet.
    pub(crate) sent: Option<clock::Millis>,
}

impl Ordered {
    /// Replaces the state; it has to be sent again.
    pub(crate) fn set(&mut self, weights: IndexSet<id::ModelId>) {
        if self.weights != weights {
            self.weights = weights;
            self.sent = None;
        }
    }

    /// Whether the report was made after the state was ordered.
    ///
    /// Before that, an order of an earlier writer may still change what the engine has.
    pub(crate) fn is_seen(&self, engine: &engine::Engine) -> bool {
        self.sent.is_some_and(|sent| engine.reported > sent)
    }

    /// Whether the engine has `weights` and no order under way takes them from it.
    pub(crate) fn keeps(&self, engine: &engine::Engine, weights: &id::ModelId) -> bool {
        self.is_seen(engine) && self.weights.contains(weights) && engine.loaded.contains(weights)
    }
}
