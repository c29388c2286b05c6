//! The append-only log of the platform.

use basilgrade_types::offset;
use bytes::Bytes;
use futures::future;

use crate::error;

/// A record and its position.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Record {
    /// Position in the stream.
    pub offset: offset::Offset,
    /// What was appended.
    pub body: Bytes,
}

/// Records read in one call.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Batch {
    /// The first offset still retained.
    pub first: offset::Offset,
    /// The offset to read from next.
    pub next: offset::Offset,
    /// Records in order of offset.
    pub records: Vec<Record>,
}

/// Append-only streams with offsets and limited retention.
pub trait LogService: Send + Sync {
    /// Appends a record.
    fn append<'a>(
        &'a self,
        stream: &'a str,
        body: Bytes,
    ) -> future::BoxFuture<'a, Result<offset::Offset, error::AppendError>>;

    /// Reads at most `max` records from offset `from` on.
    fn read<'a>(
        &'a self,
        stream: &'a str,
        from: offset::Offset,
        max: usize,
    ) -> future::BoxFuture<'a, Result<Batch, error::ReadError>>;
}
