//! Requests that are not served.

use basilgrade_adapter::refusal;
use basilgrade_types::clock;
use basilgrade_types::verdict;
use bytes::Bytes;
use compact_str::CompactString;
use hyper::Response;
use hyper::StatusCode;
use hyper::header;

use crate::serve::response_body;

/// Shortest wait that a caller is told when nothing better is known.
const DEFAULT_WAIT: clock::Millis = clock::Millis(250);

/// An answer of the daemon itself.
#[derive(Clone, Debug)]
pub struct RequestFailure {
    /// Its status. 408, 421, 429 and 503 are given only with the verdict `NotRun`.
    pub status: StatusCode,
    /// Whether the request may have run.
    pub verdict: verdict::Verdict,
    /// Why.
    pub reason: CompactString,
    /// When the caller should come back.
    pub wait: Option<clock::Millis>,
}

impl RequestFailure {
    /// The request is not right and did not run.
    pub fn rejected(status: StatusCode, reason: impl std::fmt::Display) -> Self {
        Self {
            status,
            verdict: verdict::Verdict::NotRun,
            reason: compact_str::format_compact!("{reason}"),
            wait: None,
        }
    }

    /// The request did not run and may come back after `wait`.
    pub fn refused(reason: impl std::fmt::Display, wait: clock::Millis) -> Self {
        Self {
            wait: Some(wait),
            ..Self::rejected(StatusCode::SERVICE_UNAVAILABLE, reason)
        }
    }

    /// The request did not run and may come back soon.
    pub fn unavailable(reason: impl std::fmt::Display) -> Self {
        Self::refused(reason, DEFAULT_WAIT)
    }

    /// The request may have run.
    pub fn uncertain(status: StatusCode, reason: impl std::fmt::Display) -> Self {
        Self {
            verdict: verdict::Verdict::MayHaveRun,
            ..Self::rejected(status, reason)
        }
    }

    /// The answer to `request`; `is_last` closes the connection after it.
    pub fn response(&self, request: &str, is_last: bool) -> Response<response_body::Body> {
        let text = format!(
            "{{\"verdict\":\"{}\",\"error\":{:?}}}\n",
            self.verdict, self.reason
        );
        let mut response = Response::new(response_body::full(Bytes::from(text)));
        *response.status_mut() = self.status;
        *response.headers_mut() = refusal::headers(request, self.wait);
        let json = header::HeaderValue::from_static("application/json");
        response.headers_mut().insert(header::CONTENT_TYPE, json);
        if is_last {
            let close = header::HeaderValue::from_static("close");
            response.headers_mut().insert(header::CONNECTION, close);
        }
        response
    }
}
