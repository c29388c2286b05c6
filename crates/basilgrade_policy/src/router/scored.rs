//! Default router, which weighs expected time, price and the chance of a missed deadline.

use basilgrade_types::clock;
use rand::Rng;

use crate::candidate;
use crate::refusal;
use crate::router;
use crate::router::baseline;
use crate::router::eligible;
use crate::router::score;
use crate::router::settings;

/// Chooses the upstream with the lowest [`score::Score`]. Calls are divided evenly over upstreams
/// with equal scores.
#[derive(Clone, Copy, Debug, Default)]
pub struct ScoredRouter {
    settings: settings::ScoreSettings,
}

impl ScoredRouter {
    pub const fn new(settings: settings::ScoreSettings) -> Self {
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
        let scorer = score::Scorer::new(&self.settings, now, call);
        let mut random = XorShift::new(rng);
        // A random start of the scan divides calls evenly over equal candidates.
        let start = baseline::random_position(u64::from(random.bits()) << 32, candidates.len());
        let (head, tail) = candidates.split_at(start);
        let mut best = None;
        let mut fallback = None;
        let mut lowest = f32::INFINITY;
        for candidate in [tail, head].into_iter().flatten() {
            if candidate.weight <= 0.0 || candidate.inflight >= candidate.limit {
                continue;
            }
            let score = scorer.score(candidate);
            // The exclusions are searched last, because few candidates have a low enough score. A
            // NaN score never wins.
            let wins = score.total < lowest && !call.excluded.contains(&candidate.index);
            if !wins {
                continue;
            }
            // An upstream of reduced weight receives only that share of the calls that it would
            // win.
            if candidate.weight < 1.0 && random.fraction() >= candidate.weight {
                fallback = Some((candidate, score));
                continue;
            }
            lowest = score.total;
            best = Some((candidate, score));
        }
        match (best, fallback) {
            (Some(found), _) => Ok(choice_of(found, "score")),
            // An upstream of reduced weight is better than a refusal.
            (None, Some(found)) => Ok(choice_of(found, "score-reduced")),
            (None, None) => Err(eligible::refusal(candidates, call)),
        }
    }
}

fn choice_of(
    (candidate, score): (&candidate::Candidate, score::Score),
    reason: &'static str,
) -> router::Choice {
    router::Choice {
        index: candidate.index,
        finish_ms: score.finish_ms,
        cost: score.cost,
        reason,
    }
}

/// A xorshift generator, seeded by one draw from the caller's generator.
///
/// A dynamic call to the caller's generator for each of 1,200 candidates would take longer than
/// scoring them.
#[derive(Clone, Copy, Debug)]
struct XorShift {
    state: u64,
}

impl XorShift {
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
