//! The router of the system: expected finish, price and chance of a miss.

use basilgrade_types::clock;
use rand::Rng;

use crate::candidate;
use crate::refusal;
use crate::router;
use crate::router::baseline;
use crate::router::eligibility;
use crate::router::score;
use crate::router::score_settings;

/// Chooses the upstream with the lowest [`score::Score`]; equal ones share evenly.
#[derive(Clone, Copy, Debug, Default)]
pub struct ScoredRouter {
    settings: score_settings::ScoreSettings,
}

impl ScoredRouter {
    /// A router with these settings.
    pub const fn new(settings: score_settings::ScoreSettings) -> Self {
        Self { settings }
    }
}

impl router::Router for ScoredRouter {
    fn choose(
        &self,
        now: clock::Millis,
        call: &router::CallShape,
        candidates: &[candidate::Candidate],
        rng: &mut dyn Rng,
    ) -> Result<router::Choice, refusal::Refusal> {
        if now >= call.deadline {
            return Err(refusal::Refusal::Deadline);
        }
        let scale = score::Scorer::new(&self.settings, now, call);
        let mut random = Random::new(rng);
        // The scan starts anywhere, so that equal candidates are chosen evenly.
        let start = baseline::position(u64::from(random.bits()) << 32, candidates.len());
        let (head, tail) = candidates.split_at(start);
        let mut best = None;
        let mut rest = None;
        let mut lowest = f32::INFINITY;
        for candidate in [tail, head].into_iter().flatten() {
            if candidate.weight <= 0.0 || candidate.inflight >= candidate.limit {
                continue;
            }
            let scored = scale.score(candidate);
            // The exclusions are searched last, because few candidates come this far. A score that is
            // not a number never wins.
            let wins = scored.total < lowest && !call.excluded.contains(&candidate.index);
            if !wins {
                continue;
            }
            // An upstream of reduced weight gets that share of the calls it would have got.
            if candidate.weight < 1.0 && random.fraction() >= candidate.weight {
                rest = Some((candidate, scored));
                continue;
            }
            lowest = scored.total;
            best = Some((candidate, scored));
        }
        match (best, rest) {
            (Some(found), _) => Ok(choice(found, "score")),
            // An upstream of reduced weight is better than a refusal.
            (None, Some(found)) => Ok(choice(found, "score-reduced")),
            (None, None) => Err(eligibility::refuse(candidates, call)),
        }
    }
}

fn choice(
    (candidate, scored): (&candidate::Candidate, score::Score),
    reason: &'static str,
) -> router::Choice {
    router::Choice {
        index: candidate.index,
        finish_ms: scored.finish_ms,
        cost: scored.cost,
        reason,
    }
}

/// A xorshift generator seeded by one draw, because a dynamic call for each of 1,200 candidates
/// would take longer than scoring them.
#[derive(Clone, Copy, Debug)]
struct Random {
    state: u64,
}

impl Random {
    fn new(rng: &mut dyn Rng) -> Self {
        Self {
            state: rng.next_u64() | 1,
        }
    }

    fn bits(&mut self) -> u32 {
        self.state ^= self.state << 13;
        self.state ^= self.state >> 7;
        self.state ^= self.state << 17;
        (self.state >> 32) as u32
    }

    fn fraction(&mut self) -> f32 {
        self.bits() as f32 / u32::MAX as f32
    }
}
