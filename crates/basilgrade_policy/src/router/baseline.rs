//! What the baseline routers share.

use basilgrade_types::clock;

use crate::candidate;
use crate::refusal;
use crate::router;
use crate::router::eligibility;
use crate::router::score;
use crate::router::score_settings;

/// Whether `candidate` may receive `call`.
pub(crate) fn open(candidate: &candidate::Candidate, call: &router::CallShape) -> bool {
    eligibility::Eligibility::of(candidate, call) == eligibility::Eligibility::Eligible
}

/// The first open candidate at or after position `start`, with wrap-around.
pub(crate) fn from_position<'a>(
    candidates: &'a [candidate::Candidate],
    call: &router::CallShape,
    start: usize,
) -> Option<&'a candidate::Candidate> {
    let (head, tail) = candidates.split_at(start.min(candidates.len()));
    tail.iter().chain(head).find(|found| open(found, call))
}

/// The choice of `found`, or the refusal when there is none.
pub(crate) fn choice(
    now: clock::Millis,
    call: &router::CallShape,
    candidates: &[candidate::Candidate],
    found: Option<&candidate::Candidate>,
    reason: &'static str,
) -> Result<router::Choice, refusal::Refusal> {
    let found = found.ok_or_else(|| eligibility::refuse(candidates, call))?;
    let scored =
        score::Scorer::new(&score_settings::ScoreSettings::default(), now, call).score(found);
    Ok(router::Choice {
        index: found.index,
        finish_ms: scored.finish_ms,
        cost: scored.cost,
        reason,
    })
}

/// A position in a list of `length`, from one random draw.
pub(crate) fn position(draw: u64, length: usize) -> usize {
    (((draw >> 32) * length as u64) >> 32) as usize
}
