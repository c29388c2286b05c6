//! Eligibility of a candidate for a call.

use crate::candidate;
use crate::refusal;
use crate::router;

/// Whether an upstream may receive a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Eligibility {
    /// The upstream may receive the call.
    Eligible,
    /// The upstream could serve the call, but this daemon's limit of calls in flight is reached.
    AtLimit,
    /// The upstream is ejected, or excluded for this call.
    Excluded,
}

impl Eligibility {
    /// Eligibility of `candidate` for `call`.
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

/// Reason for a refusal when no candidate is eligible.
///
/// Clients need the distinction: a later attempt is useful if the pool is saturated, but not if no
/// upstream of the pool is available.
pub fn refusal(candidates: &[candidate::Candidate], call: &router::CallShape) -> refusal::Refusal {
    let busy = candidates
        .iter()
        .any(|candidate| Eligibility::of(candidate, call) == Eligibility::AtLimit);
    if busy {
        refusal::Refusal::Saturated
    } else {
        refusal::Refusal::Unserved
    }
}
