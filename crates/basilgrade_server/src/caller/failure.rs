//! Failures of requests, with their HTTP status and remedy.

use basilgrade_policy::refusal;
use basilgrade_types::verdict;
use basilgrade_upstream::call_error;
use hyper::StatusCode;
use quick_error::quick_error;

quick_error! {
    /// Reason why a request failed; determines verdict, status and remedy of the response.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum Failure {
        /// A request header is missing or invalid.
        Invalid(name: &'static str, reason: String) {
            display("header `{}`: {}", name, reason)
        }
        /// The customer is not declared or may not use the target.
        Forbidden(customer: String) {
            display("customer `{}` is not declared or may not use this target", customer)
        }
        /// The path names no declared pipeline or service.
        UnknownTarget(path: String) {
            display("`{}` names no declared pipeline or service", path)
        }
        /// The body exceeds the size limit.
        BodyTooLarge(limit: u64) {
            display("the request body exceeds the limit of `{}` bytes", limit)
        }
        /// The body did not arrive within the time limit.
        SlowBody {
            display("the request body did not arrive within the time limit")
        }
        /// The caller closed the connection, or the body is malformed.
        BrokenBody(reason: String) {
            display("the request body could not be read: {}", reason)
        }
        /// No configuration is in force yet.
        NotReady {
            display("no configuration is in force yet")
        }
        /// The maximum number of requests is in progress.
        Overloaded {
            display("the daemon is at its limit of concurrent requests")
        }
        /// The router, the budget or the quota refused the request before anything was sent.
        Refused(refusal: refusal::Refusal) {
            display("{}", refusal)
        }
        /// The request key was used for a request with a different fingerprint.
        KeyReused(key: String) {
            display("request key `{}` was used for a different request", key)
        }
        /// The request key was claimed before and no answer is stored under it.
        Claimed(key: String) {
            display("request key `{}` was claimed before and no answer is stored for it", key)
        }
        /// No claim on the request key could be made, so nothing was sent.
        ClaimUnavailable(key: String, reason: String) {
            display("request key `{}` cannot be claimed now: {}", key, reason)
        }
        /// The deadline passed.
        DeadlinePassed(verdict: verdict::Verdict) {
            display("the deadline of the request passed")
        }
        /// An upstream call failed and may not or could not be retried.
        Upstream(error: call_error::CallError, verdict: verdict::Verdict) {
            display("{}", error)
        }
    }
}

impl Failure {
    /// Whether the request may have run.
    pub fn verdict(&self) -> verdict::Verdict {
        match self {
            Self::Claimed(..) => verdict::Verdict::MayHaveRun,
            Self::DeadlinePassed(verdict) | Self::Upstream(_, verdict) => *verdict,
            _ => verdict::Verdict::NotRun,
        }
    }

    pub fn status(&self) -> StatusCode {
        match self {
            Self::BrokenBody(..) | Self::Invalid(..) => StatusCode::BAD_REQUEST,
            Self::Forbidden(..) => StatusCode::FORBIDDEN,
            Self::UnknownTarget(..) => StatusCode::NOT_FOUND,
            Self::SlowBody => StatusCode::REQUEST_TIMEOUT,
            Self::Claimed(..) => StatusCode::CONFLICT,
            Self::BodyTooLarge(..) => StatusCode::PAYLOAD_TOO_LARGE,
            Self::KeyReused(..) => StatusCode::UNPROCESSABLE_ENTITY,
            Self::Refused(refusal::Refusal::CustomerLimit) => StatusCode::TOO_MANY_REQUESTS,
            Self::ClaimUnavailable(..) | Self::NotReady | Self::Overloaded | Self::Refused(..) => {
                StatusCode::SERVICE_UNAVAILABLE
            }
            Self::DeadlinePassed(..) | Self::Upstream(call_error::CallError::Timeout(..), _) => {
                StatusCode::GATEWAY_TIMEOUT
            }
            Self::Upstream(..) => StatusCode::BAD_GATEWAY,
        }
    }

    /// Identifier of the failure in logs and metrics.
    pub fn label(&self) -> &'static str {
        match self {
            Self::BodyTooLarge(..) => "body-too-large",
            Self::BrokenBody(..) => "broken-body",
            Self::ClaimUnavailable(..) => "claim-unavailable",
            Self::Claimed(..) => "claimed",
            Self::DeadlinePassed(..) => "deadline-passed",
            Self::Forbidden(..) => "forbidden",
            Self::Invalid(..) => "invalid",
            Self::KeyReused(..) => "key-reused",
            Self::NotReady => "not-ready",
            Self::Overloaded => "overloaded",
            Self::Refused(refusal) => refusal.as_str(),
            Self::SlowBody => "slow-body",
            Self::UnknownTarget(..) => "unknown-target",
            Self::Upstream(..) => "upstream",
        }
    }

    /// Advice to the caller, returned in the response body.
    pub fn remedy(&self) -> &'static str {
        match self {
            Self::BodyTooLarge(..) => "send a shorter body",
            Self::BrokenBody(..) | Self::SlowBody => "send the complete body without pauses",
            Self::ClaimUnavailable(..) => "send the same key again later",
            Self::Claimed(..) => "ask the service for the outcome before sending a new key",
            Self::DeadlinePassed(..) | Self::Upstream(..) => match self.verdict() {
                verdict::Verdict::NotRun => "send the request again",
                _ => "check the outcome, or send the request again with the same key",
            },
            Self::Forbidden(..) => "check `basilgrade-customer` against the configuration",
            Self::Invalid(..) => "correct the named header",
            Self::KeyReused(..) => "use a new key for each request",
            Self::NotReady | Self::Overloaded => "send the request again later",
            Self::Refused(refusal) => match refusal {
                refusal::Refusal::Deadline => "allow more time for the request",
                _ => "send the request again later",
            },
            Self::UnknownTarget(..) => "use the name of a declared pipeline or service",
        }
    }
}
