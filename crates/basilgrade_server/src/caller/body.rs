//! Reading of request bodies within limits of size and time.

use std::error;

use basilgrade_types::clock;
use basilgrade_types::size;
use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt;
use hyper::body;

use crate::caller::failure;

/// Maximum number of bytes read and discarded after the size limit.
///
/// Closing a connection with unread bytes resets it, and the caller would not see the error
/// response.
const DISCARD_LIMIT: u64 = 8 << 20;

/// Reads the complete body.
///
/// # Errors
///
/// Returns `BodyTooLarge` above `limit`, `SlowBody` after `timeout`, and `BrokenBody` if the body
/// ends early. Nothing has run in any of these cases.
pub async fn read<B>(
    body: B,
    limit: size::ByteCount,
    timeout: clock::Millis,
) -> Result<Bytes, failure::Failure>
where
    B: body::Body<Data = Bytes>,
    B::Error: error::Error + Send + Sync + 'static,
{
    tokio::time::timeout(timeout.duration(), collect(body, limit))
        .await
        .unwrap_or(Err(failure::Failure::SlowBody))
}

async fn collect<B>(body: B, limit: size::ByteCount) -> Result<Bytes, failure::Failure>
where
    B: body::Body<Data = Bytes>,
    B::Error: error::Error + Send + Sync + 'static,
{
    let mut body = Box::pin(body);
    let mut buffer = BytesMut::new();
    let mut received = 0_u64;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| failure::Failure::BrokenBody(error.to_string()))?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        received += data.len() as u64;
        if received <= limit.0 {
            buffer.extend_from_slice(&data);
        } else if received > limit.0 + DISCARD_LIMIT {
            break;
        } else {
            buffer = BytesMut::new();
        }
    }
    if received > limit.0 {
        return Err(failure::Failure::BodyTooLarge(limit.0));
    }
    Ok(buffer.freeze())
}
