//! Construction of responses. Every response to a request carries the request identifier and a
//! verdict.

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

/// Hop-by-hop headers and others that belong to one connection; they are not forwarded.
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

/// JSON body of the response to a failed request.
#[derive(Debug, Serialize)]
pub struct ErrorBody {
    /// Identifier of the request.
    pub request_id: request::RequestId,
    /// Whether the request may have run.
    pub verdict: verdict::Verdict,
    /// Description of the failure.
    pub error: String,
    /// Advice to the caller.
    pub remedy: &'static str,
}

/// A response body held in memory.
pub fn full_body(bytes: impl Into<Bytes>) -> Body {
    http_body_util::Full::new(bytes.into()).boxed_unsync()
}

/// Adds the request identifier and the verdict to the headers of a response.
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

/// Builds the response to a failed request.
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

/// Builds a short plain-text response that concerns the daemon itself, such as a health check.
pub fn text(status: hyper::StatusCode, text: &'static str) -> hyper::Response<Body> {
    let mut response = hyper::Response::new(full_body(text));
    *response.status_mut() = status;
    response
}
