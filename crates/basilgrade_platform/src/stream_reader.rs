//! Reading a stream up to its end.

use basilgrade_types::offset;
use futures::StreamExt;
use futures::stream;

use crate::error;
use crate::log_service;

/// Reads from `from` to the present end of the stream, in batches of at most `max` records.
///
/// Only one batch is held at a time, so a long stream does not have to fit in memory. The stream
/// ends with the first empty batch, which is not returned, or with an error.
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
