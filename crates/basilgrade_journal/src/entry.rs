//! One entry of a log stream, as read from the log service.

use basilgrade_types::offset;
use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

/// An encoded record and its position in the stream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Entry {
    /// Position in the log stream.
    pub offset: offset::Offset,
    /// One record as a line of JSON; arbitrary bytes if another system wrote the entry.
    pub body: Bytes,
}
