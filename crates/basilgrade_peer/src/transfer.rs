//! Records or state for a daemon that is behind.

use basilgrade_journal::chunk;
use basilgrade_journal::export;
use serde::Deserialize;
use serde::Serialize;
use serde::de;

/// What a peer gets that asks for records of a stream.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(bound = "S: Serialize + de::DeserializeOwned")]
pub enum Transfer<S> {
    /// Nothing: the asked daemon is not ahead.
    Nothing,
    /// The records it lacks.
    Records(chunk::Chunk),
    /// The whole state, as the records are no longer kept.
    State(export::Export<S>),
}
