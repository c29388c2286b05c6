//! Error of sending a request over HTTP.

use std::fmt;

use basilgrade_types::verdict;

/// Reason why a request got no answer, and whether the request may have run.
#[derive(Clone, Debug)]
pub struct SendError {
    /// `NotRun` if no byte of the request was sent, `MayHaveRun` otherwise.
    pub verdict: verdict::Verdict,
    pub reason: String,
}

impl SendError {
    /// Error before any byte of the request was sent.
    pub fn unsent(reason: impl fmt::Display) -> Self {
        Self {
            verdict: verdict::Verdict::NotRun,
            reason: reason.to_string(),
        }
    }

    /// Error after bytes of the request may have been sent.
    pub fn broken(reason: impl fmt::Display) -> Self {
        Self {
            verdict: verdict::Verdict::MayHaveRun,
            reason: reason.to_string(),
        }
    }
}

impl fmt::Display for SendError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ({})", self.reason, self.verdict)
    }
}
