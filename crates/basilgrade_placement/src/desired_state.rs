//! The state that an engine is to reach.

use basilgrade_types::clock;
use basilgrade_types::id;
use indexmap::IndexSet;

use crate::engine;

/// The desired state of one engine.
#[derive(Clone, Debug, Default)]
pub(crate) struct DesiredState {
    /// Weights to have loaded.
    pub(crate) weights: IndexSet<id::ModelId>,
    /// Instant at which the state was first sent to the engine; `None` if it was not sent yet.
    pub(crate) sent: Option<clock::Millis>,
}

impl DesiredState {
    /// Replaces the desired weights; changed weights have to be sent to the engine again.
    pub(crate) fn set(&mut self, weights: IndexSet<id::ModelId>) {
        if self.weights != weights {
            self.weights = weights;
            self.sent = None;
        }
    }

    /// Whether the load report of `engine` describes an instant after the order was sent.
    ///
    /// Until such a report, an order of a former writer may still change the loaded weights.
    pub(crate) fn is_reported(&self, engine: &engine::Engine) -> bool {
        self.sent.is_some_and(|sent| engine.reported > sent)
    }

    /// Whether the engine has `weights` loaded and no order in progress unloads them.
    pub(crate) fn keeps(&self, engine: &engine::Engine, weights: &id::ModelId) -> bool {
        self.is_reported(engine)
            && self.weights.contains(weights)
            && engine.loaded.contains(weights)
    }
}
