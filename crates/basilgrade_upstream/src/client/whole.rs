//! Reading a whole body within a limit.

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
use crate::client::shared;
use crate::reply;

/// Reads the whole answer, then pools its connection.
pub(super) async fn read(
    shared: &sync::Arc<shared::Shared>,
    answer: exchange::Answer,
    limit: size::ByteCount,
    deadline: time::Instant,
) -> Result<reply::Reply, call_error::CallError> {
    let address = answer.connection.address;
    let (head, body) = answer.response.into_parts();
    let reading = collect(address, &head.headers, body, limit);
    let body = time::timeout_at(deadline, reading).await.map_err(|_| {
        counters::increment(&shared.counting.timeouts);
        call_error::CallError::Timeout(address)
    })??;
    if answer.echoed {
        shared.pool.put(answer.connection);
    }
    let mut headers = head.headers;
    identity::strip(&mut headers);
    Ok(reply::Reply {
        status: head.status,
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
    // The end of such a body cannot be told from a process that died while it answered.
    if declared.is_none() && !headers.contains_key(header::TRANSFER_ENCODING) {
        return Err(call_error::CallError::Malformed(
            address,
            "length of the body is not declared".to_owned(),
        ));
    }
    let mut first = Bytes::new();
    let mut whole = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| broken(address, &error))?;
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
    // Most bodies arrive in one piece, which is passed on without a copy.
    Ok(if whole.is_empty() {
        first
    } else {
        whole.freeze()
    })
}

/// The error for a body that ended before its end.
pub(super) fn broken(address: net::SocketAddr, error: &hyper::Error) -> call_error::CallError {
    call_error::CallError::Malformed(address, format!("body is not complete: {error}"))
}
