//! A part of the state sent to a joining daemon.

use serde::Deserialize;
use serde::Serialize;

use crate::state_update;

/// A part of the answering daemon's state.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct FullStateChunk {
    /// The state.
    pub update: state_update::StateUpdate,
    /// Whether more follows on the next request.
    pub remainder: Remainder,
}

/// What follows a chunk.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Remainder {
    /// More chunks.
    More,
    /// Nothing; this was everything.
    Complete,
    /// Nothing, but the answering daemon is itself still joining.
    Incomplete,
}
