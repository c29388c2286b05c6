//! Interface of the log service, the append-only log of the platform.

use basilgrade_types::offset;
use bytes::Bytes;
use futures::future;

use crate::error;

/// A record of a log stream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Record {
    /// Position of the record in its stream, counted from 0 without gaps.
    pub offset: offset::Offset,
    /// Bytes of the record as they were appended.
    pub body: Bytes,
}

/// Consecutive records that one read returned.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Batch {
    /// First offset of the stream that is still retained.
    pub first: offset::Offset,
    /// Offset at which the next read continues.
    pub next: offset::Offset,
    /// Records in ascending order of offset; empty at the end of the stream.
    pub records: Vec<Record>,
}

/// Access to append-only streams of records with limited retention.
pub trait LogService: Send + Sync {
    /// Appends a record to a stream and returns its offset.
    fn append<'a>(
        &'a self,
        stream: &'a str,
        body: Bytes,
    ) -> future::BoxFuture<'a, Result<offset::Offset, error::AppendError>>;

    /// Reads at most `max` records of a stream, starting at offset `from`.
    fn read<'a>(
        &'a self,
        stream: &'a str,
        from: offset::Offset,
        max: usize,
    ) -> future::BoxFuture<'a, Result<Batch, error::ReadError>>;
}
