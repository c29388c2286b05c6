//! Response to a request for the records of a log stream.

use basilgrade_journal::chunk;
use basilgrade_journal::export;
use serde::Deserialize;
use serde::Serialize;
use serde::de;

/// The response to a request for the records of a log stream from some offset on.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(bound = "S: Serialize + de::DeserializeOwned")]
pub enum Transfer<S> {
    /// The answering daemon has no records that the requesting daemon lacks.
    Nothing,
    /// The records that the requesting daemon lacks.
    Records(chunk::Chunk),
    /// The state of the stream, because the answering daemon no longer keeps the records that the
    /// requesting daemon lacks.
    State(export::Export<S>),
}
