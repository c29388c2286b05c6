//! Baseline router that chooses by the fewest outstanding calls.

use basilgrade_types::clock;
use rand::Rng;

use crate::candidate;
use crate::refusal;
use crate::router;
use crate::router::baseline;

/// Chooses the candidate with the fewest calls of this daemon in flight.
#[derive(Clone, Copy, Debug, Default)]
pub struct LeastOutstandingRouter;

impl router::Router for LeastOutstandingRouter {
    fn choose(
        &self,
        now: clock::Millis,
        call: &router::CallShape,
        candidates: &[candidate::Candidate],
        rng: &mut dyn Rng,
    ) -> Result<router::Choice, refusal::Refusal> {
        // The scan starts at a random position, so that ties do not favour the head of the list.
        let start = baseline::random_position(rng.next_u64(), candidates.len());
        let (head, tail) = candidates.split_at(start);
        let found = tail
            .iter()
            .chain(head)
            .filter(|candidate| baseline::is_eligible(candidate, call))
            .min_by_key(|candidate| candidate.inflight);
        baseline::choice_of(now, call, candidates, found, "least-outstanding")
    }
}
