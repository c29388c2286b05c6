//! The state of a replayed stream, as sent to a peer daemon.

use basilgrade_types::clock;
use basilgrade_types::offset;
use serde::Deserialize;
use serde::Serialize;

/// The state of a stream after all records before `next`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Export<S> {
    /// The offset of the first record that the state does not include.
    pub next: offset::Offset,
    /// The newest snapshot known to be in the log: the offset of the last record that it includes,
    /// and the wall-clock time of its writer.
    pub snapshot: Option<(offset::Offset, clock::Millis)>,
    /// The state after the record before `next`.
    pub state: S,
}
