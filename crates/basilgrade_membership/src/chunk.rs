//! A part of the state sent to a joining daemon.

use serde::Deserialize;
use serde::Serialize;

use crate::news;

/// A part of the answering daemon's state.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Chunk {
    /// The state.
    pub news: news::News,
    /// Whether more follows on the next request.
    pub rest: Rest,
}

/// What follows a chunk.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Rest {
    /// More chunks.
    More,
    /// Nothing; this was everything.
    Nothing,
    /// Nothing, but the answering daemon is itself still joining.
    Joining,
}
