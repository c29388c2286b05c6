//! Reading of request bodies within limits.

use std::error;

use basilgrade_types::clock;
use basilgrade_types::size;
use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt;
use hyper::body;

use crate::caller::failure;

/// Bytes read and thrown away after the limit.
///
/// A connection that is closed with unread bytes is reset, and the caller then never sees why.
const DISCARD_LIMIT: u64 = 8 << 20;

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
