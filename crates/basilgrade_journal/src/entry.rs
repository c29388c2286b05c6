//! One entry of a stream as read from the log service.

use basilgrade_types::offset;
use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

/// A record's bytes and their position.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Entry {
    /// Position in the stream.
    pub offset: offset::Offset,
    /// One record as a line of JSON, if it was written by this system.
    pub body: Bytes,
}
