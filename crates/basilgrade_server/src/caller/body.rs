//! Reading of request bodies within limits.

use basilgrade_types::clock;
use basilgrade_types::size;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body;

use crate::caller::failure;

/// Reads the whole body.
///
/// # Errors
///
/// `BodyTooLarge` above `limit`, `SlowBody` after `timeout`, `BrokenBody` when the sender stops
/// early. Nothing has run in any of these cases.
pub async fn read<B>(
    body: B,
    limit: size::ByteCount,
    timeout: clock::Millis,
) -> Result<Bytes, failure::Failure>
where
    B: body::Body<Data = Bytes>,
    B::Error: std::error::Error + Send + Sync + 'static,
{
    if body.size_hint().lower() > limit.0 {
        return Err(failure::Failure::BodyTooLarge(limit.0));
    }
    let limited = http_body_util::Limited::new(body, limit.0 as usize);
    let collected = tokio::time::timeout(timeout.duration(), Box::pin(limited).collect());
    match collected.await {
        Err(_) => Err(failure::Failure::SlowBody),
        Ok(Ok(whole)) => Ok(whole.to_bytes()),
        Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => {
            Err(failure::Failure::BodyTooLarge(limit.0))
        }
        Ok(Err(error)) => Err(failure::Failure::BrokenBody(error.to_string())),
    }
}
