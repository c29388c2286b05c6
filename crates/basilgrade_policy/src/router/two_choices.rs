//! Baseline router that compares two random choices.

use basilgrade_types::clock;
use rand::Rng;

use crate::candidate;
use crate::refusal;
use crate::router;
use crate::router::baseline;

/// Chooses the less loaded of two random candidates.
///
/// The load is the reported load plus the calls sent since the report, or the calls of this daemon
/// in flight if that number is larger.
#[derive(Clone, Copy, Debug, Default)]
pub struct TwoChoicesRouter;

impl router::Router for TwoChoicesRouter {
    fn choose(
        &self,
        now: clock::Millis,
        call: &router::CallShape,
        candidates: &[candidate::Candidate],
        rng: &mut dyn Rng,
    ) -> Result<router::Choice, refusal::Refusal> {
        let load = |candidate: &candidate::Candidate| {
            (candidate.running + candidate.queued + candidate.sent).max(candidate.inflight)
        };
        let first = baseline::random_position(rng.next_u64(), candidates.len());
        let second = baseline::random_position(rng.next_u64(), candidates.len());
        let first = baseline::first_eligible(candidates, call, first);
        let second = baseline::first_eligible(candidates, call, second);
        let found = match (first, second) {
            (Some(first), Some(second)) if load(second) < load(first) => Some(second),
            _ => first,
        };
        baseline::choice_of(now, call, candidates, found, "two-choices")
    }
}
