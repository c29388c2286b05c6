//! Error responses to callers.

use basilgrade_adapter::local_response;
use basilgrade_types::clock;
use basilgrade_types::verdict;
use bytes::Bytes;
use compact_str::CompactString;
use hyper::Response;
use hyper::StatusCode;
use hyper::header;

use crate::request::response_body;

/// Retry delay that a caller is told if no estimate of the wait is known.
const DEFAULT_WAIT: clock::Millis = clock::Millis(250);

/// Status of the error response to a request that may have run and has no answer at its deadline.
pub const LATE_STATUS: StatusCode = StatusCode::GATEWAY_TIMEOUT;

/// Error that the daemon itself answers a request with.
#[derive(Clone, Debug)]
pub struct RequestFailure {
    /// HTTP status; 408, 421, 429 and 503 are used only with the verdict `NotRun`.
    pub status: StatusCode,
    pub verdict: verdict::Verdict,
    pub reason: CompactString,
    /// Delay after which the caller should retry; `None` if a retry is not advised.
    pub wait: Option<clock::Millis>,
    /// Whether the connection cannot be used on, as the request was not read to its end.
    pub ends_connection: bool,
}

impl RequestFailure {
    /// Error of an invalid request, which did not run.
    pub fn rejected(status: StatusCode, reason: impl std::fmt::Display) -> Self {
        Self {
            status,
            verdict: verdict::Verdict::NotRun,
            reason: compact_str::format_compact!("{reason}"),
            wait: None,
            ends_connection: false,
        }
    }

    /// Error of a request that did not run and may be retried after `wait`.
    pub fn refused(reason: impl std::fmt::Display, wait: clock::Millis) -> Self {
        Self {
            wait: Some(wait),
            ..Self::rejected(StatusCode::SERVICE_UNAVAILABLE, reason)
        }
    }

    /// Error of a request that did not run and may be retried after `DEFAULT_WAIT`.
    pub fn unavailable(reason: impl std::fmt::Display) -> Self {
        Self::refused(reason, DEFAULT_WAIT)
    }

    /// Error of a request that may have run.
    pub fn uncertain(status: StatusCode, reason: impl std::fmt::Display) -> Self {
        Self {
            verdict: verdict::Verdict::MayHaveRun,
            ..Self::rejected(status, reason)
        }
    }

    /// The same error as the last answer of its connection.
    #[must_use]
    pub fn ending_connection(mut self) -> Self {
        self.ends_connection = true;
        self
    }

    /// Response to the request with the id `request`; `is_last` asks the caller to close the
    /// connection.
    pub fn response(&self, request: &str, is_last: bool) -> Response<response_body::Body> {
        let text = format!(
            "{{\"verdict\":\"{}\",\"error\":{:?}}}\n",
            self.verdict, self.reason
        );
        let mut response = Response::new(response_body::full(Bytes::from(text)));
        *response.status_mut() = self.status;
        *response.headers_mut() = local_response::headers(request, self.wait);
        let json = header::HeaderValue::from_static("application/json");
        response.headers_mut().insert(header::CONTENT_TYPE, json);
        if is_last || self.ends_connection {
            let close = header::HeaderValue::from_static("close");
            response.headers_mut().insert(header::CONNECTION, close);
        }
        response
    }
}
