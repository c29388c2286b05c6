//! A fold's state as sent to a peer.

use basilgrade_types::clock;
use basilgrade_types::offset;
use serde::Deserialize;
use serde::Serialize;

/// The state after all records before `next`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Export<S> {
    /// The first offset whose record is not included.
    pub next: offset::Offset,
    /// The newest snapshot known to be in the log: its included offset and its writer's wall time.
    pub snapshot: Option<(offset::Offset, clock::Millis)>,
    /// The state.
    pub state: S,
}
