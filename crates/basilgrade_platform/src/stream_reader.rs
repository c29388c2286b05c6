//! Reads a log stream up to its current end.

use basilgrade_types::offset;
use futures::StreamExt;
use futures::stream;

use crate::error;
use crate::log_service;

/// Reads a log stream from offset `from` to its current end, in batches of at most `max` records.
///
/// Only one batch is held in memory at a time, as a log stream may be larger than the memory. The
/// returned stream ends before the first empty batch or after the first error.
pub fn read_batches<'a>(
    log: &'a dyn log_service::LogService,
    stream: &'a str,
    from: offset::Offset,
    max: usize,
) -> stream::BoxStream<'a, Result<log_service::Batch, error::ReadError>> {
    stream::unfold(Some(from), move |from| async move {
        match log.read(stream, from?, max.max(1)).await {
            Ok(batch) if batch.records.is_empty() => None,
            Ok(batch) => {
                let next = batch.next;
                Some((Ok(batch), Some(next)))
            }
            Err(error) => Some((Err(error), None)),
        }
    })
    .boxed()
}
