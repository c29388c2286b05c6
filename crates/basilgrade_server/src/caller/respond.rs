//! Building of responses; each carries the identity of its request and a verdict.

use std::convert;

use basilgrade_types::request;
use basilgrade_types::verdict;
use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::combinators;
use hyper::header;
use serde::Serialize;

use crate::caller::failure;
use crate::caller::head;

/// Body of a response.
pub type Body = combinators::UnsyncBoxBody<Bytes, convert::Infallible>;

/// Headers that belong to one connection and are not passed on.
pub const CONNECTION_HEADERS: [&str; 8] = [
    "connection",
    "content-length",
    "host",
    "keep-alive",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// The JSON body of a failed request.
#[derive(Debug, Serialize)]
pub struct ErrorBody {
    /// Identity of the request.
    pub request_id: request::RequestId,
    /// Whether it may have run.
    pub verdict: verdict::Verdict,
    /// What went wrong.
    pub error: String,
    /// What the caller can do.
    pub remedy: &'static str,
}

/// A body held in memory.
pub fn full_body(bytes: impl Into<Bytes>) -> Body {
    http_body_util::Full::new(bytes.into()).boxed_unsync()
}

/// Adds identity and verdict to a response.
pub fn insert_metadata(
    headers: &mut hyper::HeaderMap,
    request: request::RequestId,
    verdict: verdict::Verdict,
) {
    let id = header::HeaderValue::from_str(&request.to_string());
    if let Ok(id) = id {
        headers.insert(head::REQUEST_ID, id);
    }
    headers.insert(
        head::VERDICT,
        header::HeaderValue::from_static(verdict.as_str()),
    );
}

/// The response for a failed request.
pub fn failure_response(
    request: request::RequestId,
    failure: &failure::Failure,
) -> hyper::Response<Body> {
    let verdict = failure.verdict();
    let body = ErrorBody {
        request_id: request,
        verdict,
        error: failure.to_string(),
        remedy: failure.remedy(),
    };
    let text = serde_json::to_vec(&body).unwrap_or_default();
    let mut response = hyper::Response::new(full_body(text));
    *response.status_mut() = failure.status();
    let headers = response.headers_mut();
    headers.insert(
        header::CONTENT_TYPE,
        header::HeaderValue::from_static("application/json"),
    );
    if verdict == verdict::Verdict::NotRun && failure.status().as_u16() >= 429 {
        headers.insert(header::RETRY_AFTER, header::HeaderValue::from_static("1"));
    }
    insert_metadata(headers, request, verdict);
    response
}

/// A short plain response of the daemon itself, such as a health check.
pub fn text(status: hyper::StatusCode, text: &'static str) -> hyper::Response<Body> {
    let mut response = hyper::Response::new(full_body(text));
    *response.status_mut() = status;
    response
}
