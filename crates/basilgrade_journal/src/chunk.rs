//! A contiguous range of entries of a log stream.

use basilgrade_types::offset;
use serde::Deserialize;
use serde::Serialize;

use crate::entry;

/// Entries returned by one read, from the log service or from a peer daemon.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Chunk {
    /// The offset at which the read was requested to start.
    pub from: offset::Offset,
    /// The lowest offset that the log still retains.
    pub first: offset::Offset,
    /// The offset at which the next read starts.
    pub next: offset::Offset,
    /// Entries in ascending order of offset, without gaps between `max(from, first)` and `next`.
    pub entries: Vec<entry::Entry>,
}
