//! Decisions on claims of request keys.

use basilgrade_types::verdict;
use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

/// Why a claim was refused although the key is not known to be in use.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Refusal {
    /// The key's creation time is at or above the ceiling of its slot, the upper bound of key
    /// creation times that the slot's owners may grant.
    Ahead,
    /// The entry daemon has too many open attempts, or the primary has too many claims that the
    /// backup has not acknowledged.
    Busy,
    /// No pair of daemons owns the key's slot, or the owners are changing.
    NoOwner,
    /// The attempt was already released, so it must not be granted any more.
    Released,
    /// The entry daemon received no decision before the deadline of the attempt.
    Timeout,
}

impl Refusal {
    /// The cause and the remedy, as text for the caller.
    pub const fn message(self) -> &'static str {
        match self {
            Self::Ahead => "key creation time is ahead of the slot's ceiling; retry later",
            Self::Busy => "too many claims are waiting for a decision; retry later",
            Self::NoOwner => {
                "the key's slot has no ready owner; retry, or get a new key from this daemon"
            }
            Self::Released => "the attempt to claim the key was released; retry",
            Self::Timeout => "the claim on the key was not confirmed before its deadline; retry",
        }
    }
}

/// The decision on one attempt to claim a key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Decision {
    /// This attempt, and no other, may send the call.
    Granted,
    /// The call has run under this key; contains its stored answer.
    Answered(Bytes),
    /// Another attempt holds the key, or may have held it, so the call may have run.
    MayHaveRun,
    /// The key is claimed by a request with a different fingerprint.
    Mismatch,
    /// The claim is refused: the call was not run by this attempt and must not be sent.
    NotRun(Refusal),
}

impl Decision {
    /// The verdict for a caller whose request ends with this decision; `None` for
    /// [`Decision::Granted`], because the call is still to be sent.
    pub const fn verdict(&self) -> Option<verdict::Verdict> {
        match self {
            Self::Granted => None,
            Self::Answered(_) => Some(verdict::Verdict::Ran),
            Self::MayHaveRun => Some(verdict::Verdict::MayHaveRun),
            // On a mismatch only the other request, which holds the key, may have run.
            Self::Mismatch | Self::NotRun(_) => Some(verdict::Verdict::NotRun),
        }
    }
}
