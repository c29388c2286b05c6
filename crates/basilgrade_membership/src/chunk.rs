//! A part of the state sent to a joining daemon.

use serde::Deserialize;
use serde::Serialize;

use crate::state_update;

/// A part of the answering daemon's state, limited in size.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct StateChunk {
    pub update: state_update::StateUpdate,
    /// Whether more follows on the next join request.
    pub remainder: Remainder,
}

/// What follows a chunk of the state.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Remainder {
    /// Part of the state did not fit; the next join request returns it.
    More,
    /// This chunk was the last one.
    Complete,
    /// This chunk was the last one, but the answering daemon is itself still joining.
    Incomplete,
}
