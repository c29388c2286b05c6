//! The router of the system: expected finish, price and chance of a miss.

use basilgrade_types::clock;
use rand::Rng;

use crate::candidate;
use crate::refusal;
use crate::router;
use crate::router::baseline;
use crate::router::eligible;
use crate::router::score;
use crate::router::settings;

/// Age of a report, in multiples of [`settings::Settings::stale`], from which the subset stops
/// shrinking.
///
/// Below an eighth, a pool of a dozen upstreams is often left without a near one.
const AGE_LIMIT: u64 = 8;

/// Chooses the upstream with the lowest [`score::Score`].
///
/// When load reports are old, only a random subset is compared, so that many daemons with the same
/// reports do not all send to the same upstream.
#[derive(Clone, Copy, Debug, Default)]
pub struct ScoredRouter {
    settings: settings::Settings,
}

impl ScoredRouter {
    /// A router with these settings.
    pub const fn new(settings: settings::Settings) -> Self {
        Self { settings }
    }

    /// Whether a candidate takes part in the choice.
    ///
    /// It does with the chance `weight * stale / age`. The comparison is a product of integers,
    /// because a division for each candidate would be a third of the decision time.
    fn takes_part(
        &self,
        now: clock::Millis,
        candidate: &candidate::Candidate,
        random: &mut Random,
    ) -> bool {
        let age = (now - candidate.reported).0;
        let stale = self.settings.stale.0;
        // A cached prefix saves more than a less loaded upstream can offer.
        if age > stale && candidate.cached == 0 {
            let age = age.min(stale.saturating_mul(AGE_LIMIT));
            if u64::from(random.bits()) * age >= stale << 32 {
                return false;
            }
        }
        candidate.weight >= 1.0 || random.fraction() < candidate.weight
    }

    /// The best of the open candidates, or of a subset of them drawn with `subset`.
    ///
    /// The scan starts at `start`, so that equal candidates are chosen evenly.
    fn best(
        &self,
        now: clock::Millis,
        call: &router::CallShape,
        candidates: &[candidate::Candidate],
        start: usize,
        mut subset: Option<&mut Random>,
    ) -> Option<router::Choice> {
        let reason = if subset.is_some() {
            "score"
        } else {
            "score-rest"
        };
        let scale = score::Scale::new(&self.settings, now, call);
        let (head, tail) = candidates.split_at(start);
        let mut best = None;
        let mut lowest = f32::INFINITY;
        for candidate in [tail, head].into_iter().flatten() {
            let usable = candidate.weight > 0.0 && candidate.inflight < candidate.limit;
            if !usable {
                continue;
            }
            if let Some(random) = &mut subset
                && !self.takes_part(now, candidate, random)
            {
                continue;
            }
            let scored = scale.score(candidate);
            // The exclusions are searched last, because few candidates come this far.
            if scored.total < lowest && !call.excluded.contains(&candidate.index) {
                lowest = scored.total;
                best = Some(router::Choice {
                    index: candidate.index,
                    finish: scored.finish,
                    cost: scored.cost,
                    reason,
                });
            }
        }
        best
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
        let mut random = Random::new(rng);
        let start = baseline::position(u64::from(random.bits()) << 32, candidates.len());
        let drawn = self.best(now, call, candidates, start, Some(&mut random));
        if let Some(choice) = drawn {
            return Ok(choice);
        }
        // With an empty subset, the best of the rest is better than a refusal.
        self.best(now, call, candidates, start, None)
            .ok_or_else(|| eligible::refuse(candidates, call))
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
