//! Why a request got no answer.

use basilgrade_policy::refusal;
use basilgrade_types::verdict;
use basilgrade_upstream::call_error;
use hyper::StatusCode;
use quick_error::quick_error;

quick_error! {
    /// A request without an answer; each variant fixes status and remedy.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum Failure {
        /// A header or the body is not as expected.
        Invalid(name: &'static str, reason: String) {
            display("`{}`: {}", name, reason)
        }
        /// The customer is not declared or may not use the target.
        Forbidden(customer: String) {
            display("customer `{}` is not declared or may not use this target", customer)
        }
        /// The path names nothing.
        UnknownTarget(path: String) {
            display("`{}` names no pipeline or service", path)
        }
        /// The body is larger than allowed.
        BodyTooLarge(limit: u64) {
            display("the body is larger than {} bytes", limit)
        }
        /// The body did not arrive in time.
        SlowBody {
            display("the body did not arrive in time")
        }
        /// The caller closed the connection or sent a broken body.
        BrokenBody(reason: String) {
            display("the body could not be read: {}", reason)
        }
        /// No configuration is in force yet.
        NotReady {
            display("no configuration is in force yet")
        }
        /// The daemon works on as many requests as it may.
        Overloaded {
            display("the daemon works on as many requests as it may")
        }
        /// A decision refused the request before anything was sent.
        Refused(refusal: refusal::Refusal) {
            display("{}", refusal)
        }
        /// The key stands for another request.
        KeyReused(key: String) {
            display("key `{}` was used for a different request", key)
        }
        /// The key was claimed before and its answer is not kept.
        Claimed(key: String) {
            display("key `{}` was claimed before and its answer is not kept", key)
        }
        /// No claim could be made, so nothing was sent.
        ClaimUnavailable(key: String, reason: String) {
            display("key `{}` cannot be claimed now: {}", key, reason)
        }
        /// The deadline passed.
        DeadlinePassed(verdict: verdict::Verdict) {
            display("the deadline passed")
        }
        /// An upstream call failed and could not be repeated.
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

    /// The HTTP status.
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

    /// Short text for metrics and logs.
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

    /// What the caller can do.
    pub fn remedy(&self) -> &'static str {
        match self {
            Self::BodyTooLarge(..) => "send a shorter body",
            Self::BrokenBody(..) | Self::SlowBody => "send the whole body at once",
            Self::ClaimUnavailable(..) => "send the same key again later",
            Self::Claimed(..) => "ask the service for the outcome; do not send a new key blindly",
            Self::DeadlinePassed(..) | Self::Upstream(..) => match self.verdict() {
                verdict::Verdict::NotRun => "send the request again",
                _ => "check the outcome, or repeat with the same key",
            },
            Self::Forbidden(..) => "check `basilgrade-customer` against the configuration",
            Self::Invalid(..) => "correct the named header or body",
            Self::KeyReused(..) => "use a new key for each request",
            Self::NotReady | Self::Overloaded => "send the request again later",
            Self::Refused(refusal) => match refusal {
                refusal::Refusal::Deadline => "allow more time",
                _ => "send the request again later",
            },
            Self::UnknownTarget(..) => "check the path against the configuration",
        }
    }
}
