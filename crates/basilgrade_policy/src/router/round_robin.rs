//! Baseline router that chooses in rotation.

use std::sync::atomic;

use basilgrade_types::clock;
use rand::Rng;

use crate::candidate;
use crate::refusal;
use crate::router;
use crate::router::baseline;

/// Chooses the candidates in rotation.
#[derive(Debug, Default)]
pub struct RoundRobinRouter {
    turn: atomic::AtomicUsize,
}

impl router::Router for RoundRobinRouter {
    fn choose(
        &self,
        now: clock::Millis,
        call: &router::CallShape,
        candidates: &[candidate::Candidate],
        _rng: &mut dyn Rng,
    ) -> Result<router::Choice, refusal::Refusal> {
        let turn = self.turn.fetch_add(1, atomic::Ordering::Relaxed);
        let start = turn % candidates.len().max(1);
        let found = baseline::first_eligible(candidates, call, start);
        baseline::choice_of(now, call, candidates, found, "round-robin")
    }
}
