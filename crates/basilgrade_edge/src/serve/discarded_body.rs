//! Bodies of rejected requests.
//!
//! A connection that is closed before its request was read is reset, and the reset may overtake the
//! answer.

use basilgrade_adapter::incoming_head;
use basilgrade_fleet::model::limits;
use http_body_util::BodyExt as _;
use hyper::HeaderMap;
use hyper::body::Body as _;
use hyper::body::Incoming;
use hyper::header;

use crate::core;
use crate::request;
use crate::request::failure;

/// Reads `body` to its end and returns `failure`.
///
/// A body that is too large or late, or that the caller holds back until it is asked for, ends its
/// connection.
pub(super) async fn reject(
    core: &core::Core,
    failure: failure::RequestFailure,
    headers: &HeaderMap,
    mut body: Incoming,
    limits: limits::Limits,
) -> failure::RequestFailure {
    if body.is_end_stream() {
        return failure;
    }
    if headers.contains_key(header::EXPECT) {
        return failure.ending_connection();
    }
    let limit = limits.max_body.0;
    if body.size_hint().lower() > limit {
        return reject_last(failure, body, limits);
    }
    // The time-out of a head applies, as the request may have no route with a time-out of its own.
    let head = incoming_head::IncomingHead::decode(headers).ok();
    let time_left = head.and_then(|head| head.time_left);
    let patience = time_left
        .map_or(limits.header_timeout, |left| left - request::ANSWER_MARGIN)
        .min(limits.header_timeout);
    let reading = tokio::time::timeout(patience.duration(), discard(&mut body, limit));
    let is_read = tokio::select! {
        read = reading => read.unwrap_or(false),
        () = core.wait_closing() => false,
    };
    if is_read {
        failure
    } else {
        reject_last(failure, body, limits)
    }
}

/// Reads and drops `body`; `false` if it is longer than `limit` or breaks.
async fn discard(body: &mut Incoming, limit: u64) -> bool {
    let mut count = 0;
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            return false;
        };
        count += frame.data_ref().map_or(0, |data| data.len() as u64);
        if count > limit {
            return false;
        }
    }
    true
}

/// Returns `failure` as the last answer of its connection, and discards what arrives of `body` in
/// the background until the caller has seen the answer.
pub(super) fn reject_last(
    failure: failure::RequestFailure,
    mut body: Incoming,
    limits: limits::Limits,
) -> failure::RequestFailure {
    let discarding = async move { while let Some(Ok(_)) = body.frame().await {} };
    tokio::spawn(tokio::time::timeout(
        limits.header_timeout.duration(),
        discarding,
    ));
    failure.ending_connection()
}
