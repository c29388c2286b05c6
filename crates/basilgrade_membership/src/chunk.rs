//! Chunks of the state that is sent to a joining daemon.

use serde::Deserialize;
use serde::Serialize;

use crate::state_update;

/// A part of the state of the answering daemon, limited to [`crate::limits::MAX_JOIN_CHUNK_BYTES`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct StateChunk {
    pub update: state_update::StateUpdate,
    /// Whether the joining daemon has to send another join request.
    pub remainder: Remainder,
}

/// How much of the state remains after a chunk.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Remainder {
    /// Part of the state did not fit; the next join request returns it.
    More,
    /// This chunk was the last one.
    Complete,
    /// This chunk was the last one, but the answering daemon is itself joining, so its state may be
    /// incomplete.
    Incomplete,
}
