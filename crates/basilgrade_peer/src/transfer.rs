//! Response of a daemon that is asked for the records of a log stream.

use basilgrade_journal::chunk;
use basilgrade_journal::export;
use serde::Deserialize;
use serde::Serialize;
use serde::de;

/// The response to a peer that asks for the records of a log stream from some offset on.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(bound = "S: Serialize + de::DeserializeOwned")]
pub enum Transfer<S> {
    /// The asked daemon has no records that the peer lacks.
    Nothing,
    /// The records that the peer lacks.
    Records(chunk::Chunk),
    /// The state of the stream, because the asked daemon no longer keeps the records that the peer
    /// lacks.
    State(export::Export<S>),
}
