//! Which candidates a call may be sent to at all.

use crate::candidate;
use crate::refusal;
use crate::router;

/// Whether an upstream may receive a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Eligibility {
    /// It may.
    Eligible,
    /// It serves the call but is at this daemon's limit for it.
    AtLimit,
    /// It is ejected, or excluded for this call.
    Excluded,
}

impl Eligibility {
    /// Judges `candidate` for `call`.
    #[inline]
    pub fn of(candidate: &candidate::Candidate, call: &router::CallShape) -> Self {
        if candidate.weight <= 0.0 || call.excluded.contains(&candidate.index) {
            return Self::Excluded;
        }
        if candidate.inflight >= candidate.limit {
            return Self::AtLimit;
        }
        Self::Eligible
    }
}

/// The refusal when no candidate is open.
///
/// A pool that is only busy is worth waiting for; a pool without members is not.
pub fn refuse(candidates: &[candidate::Candidate], call: &router::CallShape) -> refusal::Refusal {
    let busy = candidates
        .iter()
        .any(|candidate| Eligibility::of(candidate, call) == Eligibility::AtLimit);
    if busy {
        refusal::Refusal::Saturated
    } else {
        refusal::Refusal::Unserved
    }
}
