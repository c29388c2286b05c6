//! Functions shared by the routers, mainly by the baseline routers.

use basilgrade_types::clock;

use crate::candidate;
use crate::refusal;
use crate::router;
use crate::router::eligible;
use crate::router::score;
use crate::router::settings;

/// Whether `candidate` may receive `call`.
pub(crate) fn is_eligible(candidate: &candidate::Candidate, call: &router::CallShape) -> bool {
    eligible::Eligibility::of(candidate, call) == eligible::Eligibility::Eligible
}

/// The first eligible candidate at or after position `start`, continuing at the head of the list.
pub(crate) fn first_eligible<'a>(
    candidates: &'a [candidate::Candidate],
    call: &router::CallShape,
    start: usize,
) -> Option<&'a candidate::Candidate> {
    let (head, tail) = candidates.split_at(start.min(candidates.len()));
    tail.iter()
        .chain(head)
        .find(|found| is_eligible(found, call))
}

/// The choice of `found`, or the refusal if no candidate was found.
pub(crate) fn choice_of(
    now: clock::Millis,
    call: &router::CallShape,
    candidates: &[candidate::Candidate],
    found: Option<&candidate::Candidate>,
    reason: &'static str,
) -> Result<router::Choice, refusal::Refusal> {
    let found = found.ok_or_else(|| eligible::refusal(candidates, call))?;
    let score = score::Scorer::new(&settings::ScoreSettings::default(), now, call).score(found);
    Ok(router::Choice {
        index: found.index,
        finish_ms: score.finish_ms,
        cost: score.cost,
        reason,
    })
}

/// Maps the random number `draw` to a position in a list of `length` items.
pub(crate) fn random_position(draw: u64, length: usize) -> usize {
    (((draw >> 32) * length as u64) >> 32) as usize
}
