//! A contiguous part of a stream.

use basilgrade_types::offset;
use serde::Deserialize;
use serde::Serialize;

use crate::entry;

/// The answer to one read, from the log service or from a peer.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Chunk {
    /// The offset that was asked for.
    pub from: offset::Offset,
    /// The first offset still retained by the log.
    pub first: offset::Offset,
    /// The offset to read from next.
    pub next: offset::Offset,
    /// Entries in order of offset, complete between `max(from, first)` and `next`.
    pub entries: Vec<entry::Entry>,
}
