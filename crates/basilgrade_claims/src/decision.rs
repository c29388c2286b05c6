//! The answer to a request to claim a key.

use basilgrade_types::verdict;
use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

/// Why a claim was not granted although the key is not known to be in use.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Refusal {
    /// The key's creation time is at or above the slot's ceiling; retry later.
    Ahead,
    /// Too many claims are waiting for an acknowledgement.
    Busy,
    /// No pair holds the slot, or the pair is changing.
    NoOwner,
    /// The attempt was released before.
    Released,
    /// No decision arrived before the attempt's deadline.
    Timeout,
}

impl Refusal {
    /// What happened and what to do about it.
    pub const fn message(self) -> &'static str {
        match self {
            Self::Ahead => "key time is ahead; retry",
            Self::Busy => "too many claims are waiting; retry later",
            Self::NoOwner => {
                "no pair holds the key's slot now; retry, or mint a key at this daemon"
            }
            Self::Released => "the attempt was released; retry",
            Self::Timeout => "the claim was not confirmed in time; retry",
        }
    }
}

/// The answer to a request to claim a key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Decision {
    /// The call may be sent, by this attempt only.
    Granted,
    /// The call has run; this is its stored answer.
    Answered(Bytes),
    /// The key is claimed, or may have been.
    MayHaveRun,
    /// The key is in use for a different request.
    Mismatch,
    /// The call was not run and must not be sent.
    NotRun(Refusal),
}

impl Decision {
    /// The verdict for a caller whose request ends with this decision; `None` if the call is still
    /// to be sent.
    pub const fn verdict(&self) -> Option<verdict::Verdict> {
        match self {
            Self::Granted => None,
            Self::Answered(_) => Some(verdict::Verdict::Ran),
            Self::MayHaveRun => Some(verdict::Verdict::MayHaveRun),
            // The request with this fingerprint was not run; the one that holds the key may be.
            Self::Mismatch | Self::NotRun(_) => Some(verdict::Verdict::NotRun),
        }
    }
}
