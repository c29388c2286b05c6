//! Reads the complete body of a response within a size limit.

use std::net;
use std::sync;

use basilgrade_types::size;
use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt;
use hyper::body;
use hyper::body::Body;
use hyper::header;
use tokio::time;

use crate::call_error;
use crate::client::counters;
use crate::client::exchange;
use crate::client::identity;
use crate::client::shared_state;
use crate::reply;

/// Reads the body of a response. Then returns the connection to the pool if the response echoed the
/// whole identity of the call.
pub(super) async fn read(
    shared: &sync::Arc<shared_state::SharedState>,
    head: exchange::ResponseHead,
    limit: size::ByteCount,
    deadline: time::Instant,
) -> Result<reply::Reply, call_error::CallError> {
    let address = head.connection.address;
    let (parts, body) = head.response.into_parts();
    let reading = collect(address, &parts.headers, body, limit);
    let body = time::timeout_at(deadline, reading).await.map_err(|_| {
        counters::increment(&shared.counters.timeouts);
        call_error::CallError::Timeout(address)
    })??;
    if head.echoed {
        shared.pool.put(head.connection);
    }
    let mut headers = parts.headers;
    identity::strip(&mut headers);
    Ok(reply::Reply {
        status: parts.status,
        headers,
        body,
    })
}

async fn collect(
    address: net::SocketAddr,
    headers: &hyper::HeaderMap,
    mut body: body::Incoming,
    limit: size::ByteCount,
) -> Result<Bytes, call_error::CallError> {
    let too_large = || call_error::CallError::TooLarge(address, limit.0);
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let declared = body.size_hint().exact();
    if declared.is_some_and(|declared| declared > limit.0) {
        return Err(too_large());
    }
    // Without a declared length, the end of the body looks the same as a crash of the upstream.
    if declared.is_none() && !headers.contains_key(header::TRANSFER_ENCODING) {
        return Err(call_error::CallError::Malformed(
            address,
            "neither `content-length` nor `transfer-encoding` is set".to_owned(),
        ));
    }
    let mut first = Bytes::new();
    let mut whole = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| truncated(address, &error))?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if (first.len() + whole.len() + data.len()) as u64 > limit.0 {
            return Err(too_large());
        }
        if first.is_empty() && whole.is_empty() {
            first = data;
            continue;
        }
        if !first.is_empty() {
            whole.extend_from_slice(&first);
            first = Bytes::new();
        }
        whole.extend_from_slice(&data);
    }
    // Most bodies arrive in one frame, which is returned without a copy.
    Ok(if whole.is_empty() {
        first
    } else {
        whole.freeze()
    })
}

/// Error for a body that ended before its declared length or last chunk.
pub(super) fn truncated(address: net::SocketAddr, error: &hyper::Error) -> call_error::CallError {
    call_error::CallError::Malformed(address, format!("body is incomplete: {error}"))
}
