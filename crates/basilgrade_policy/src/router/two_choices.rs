//! The better of two random choices, a baseline.

use basilgrade_types::clock;
use rand::Rng;

use crate::candidate;
use crate::refusal;
use crate::router;
use crate::router::baseline;

/// Takes the less loaded of two random candidates, by reported load and own calls since.
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
        let first = baseline::position(rng.next_u64(), candidates.len());
        let second = baseline::position(rng.next_u64(), candidates.len());
        let first = baseline::from_position(candidates, call, first);
        let second = baseline::from_position(candidates, call, second);
        let found = match (first, second) {
            (Some(one), Some(other)) if load(other) < load(one) => Some(other),
            _ => first,
        };
        baseline::choice(now, call, candidates, found, "two-choices")
    }
}
