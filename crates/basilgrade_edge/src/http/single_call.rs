//! Calls to upstreams that have a connection of their own.
//!
//! Answers to such calls do not name their call. An upstream may send a second copy of an answer, late,
//! which would be taken for the answer to the next call on the connection.

use basilgrade_adapter::answer;
use basilgrade_types::verdict;
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;

use crate::http::answer_memory;
use crate::http::connection;
use crate::http::error;
use crate::http::pool;

/// Opens a connection by `connecting`, sends a call and reads the answer into memory, which `guard`
/// counts meanwhile.
///
/// Nothing is sent unless `is_allowed` holds before and when the connection is open.
///
/// # Errors
///
/// [`error::SendError`] with the verdict on whether the call may have run.
pub async fn send(
    connecting: impl Future<Output = Result<connection::Connection, error::SendError>>,
    message: Request<Full<Bytes>>,
    guard: answer_memory::HeldAnswer,
    is_allowed: impl Fn() -> bool,
) -> Result<pool::BufferedAnswer, error::SendError> {
    let forbidden = || error::SendError {
        verdict: verdict::Verdict::NotRun,
        reason: "the upstream gets no more calls".to_owned(),
    };
    if !is_allowed() {
        return Err(forbidden());
    }
    let mut connection = connecting.await?;
    if !is_allowed() {
        return Err(forbidden());
    }
    let response = connection.send(message).await?;
    let (head, body) = response.into_parts();
    if answer::Answer::decode(head.status, &head.headers, "")
        .is_matching
        .is_some()
    {
        return Err(error::SendError::broken(
            "the answer echoes the id of a request",
        ));
    }
    let body = connection::read_held_body(body, pool::MAX_ANSWER_BYTES, &guard).await?;
    Ok(pool::BufferedAnswer {
        status: head.status,
        headers: head.headers,
        body,
    })
}
