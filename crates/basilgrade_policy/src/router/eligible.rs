//! Which candidates a call may be sent to at all.

use crate::candidate;
use crate::refusal;
use crate::router;

/// Whether an upstream may receive a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Eligibility {
    /// It may.
    Open,
    /// It serves the call but is at this daemon's limit for it.
    Full,
    /// It is ejected, or excluded for this call.
    Closed,
}

impl Eligibility {
    /// Judges `candidate` for `call`.
    #[inline]
    pub fn of(candidate: &candidate::Candidate, call: &router::CallShape) -> Self {
        if candidate.weight <= 0.0 || call.excluded.contains(&candidate.index) {
            return Self::Closed;
        }
        if candidate.inflight >= candidate.limit {
            return Self::Full;
        }
        Self::Open
    }
}

/// The refusal when no candidate is open.
///
/// A pool that is only busy is worth waiting for; a pool without members is not.
pub fn refuse(candidates: &[candidate::Candidate], call: &router::CallShape) -> refusal::Refusal {
    let busy = candidates
        .iter()
        .any(|candidate| Eligibility::of(candidate, call) == Eligibility::Full);
    if busy {
        refusal::Refusal::Saturated
    } else {
        refusal::Refusal::Unserved
    }
}
