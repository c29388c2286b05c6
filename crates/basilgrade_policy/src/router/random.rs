//! Baseline router that chooses at random.

use basilgrade_types::clock;
use rand::Rng;

use crate::candidate;
use crate::refusal;
use crate::router;
use crate::router::baseline;

/// Chooses a random candidate, or the next eligible candidate after it.
#[derive(Clone, Copy, Debug, Default)]
pub struct RandomRouter;

impl router::Router for RandomRouter {
    fn choose(
        &self,
        now: clock::Millis,
        call: &router::CallShape,
        candidates: &[candidate::Candidate],
        rng: &mut dyn Rng,
    ) -> Result<router::Choice, refusal::Refusal> {
        let start = baseline::random_position(rng.next_u64(), candidates.len());
        let found = baseline::first_eligible(candidates, call, start);
        baseline::choice_of(now, call, candidates, found, "random")
    }
}
