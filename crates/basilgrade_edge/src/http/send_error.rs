//! Failed sends.

use std::fmt;

use basilgrade_types::verdict;

/// Why a request was not answered, and whether it may have run.
#[derive(Clone, Debug)]
pub struct SendError {
    /// `NotRun` when not a byte of the request was sent.
    pub verdict: verdict::Verdict,
    /// What happened.
    pub reason: String,
}

impl SendError {
    /// Not a byte was sent.
    pub fn unsent(reason: impl fmt::Display) -> Self {
        Self {
            verdict: verdict::Verdict::NotRun,
            reason: reason.to_string(),
        }
    }

    /// Bytes were sent.
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
