//! Random choice, a baseline.

use basilgrade_types::clock;
use rand::Rng;

use crate::candidate;
use crate::refusal;
use crate::router;
use crate::router::baseline;

/// Takes any candidate.
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
        let start = baseline::position(rng.next_u64(), candidates.len());
        let found = baseline::from_position(candidates, call, start);
        baseline::choice(now, call, candidates, found, "random")
    }
}
