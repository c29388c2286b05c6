//! Expected duration of a request's stages, along the path that takes longest.

use basilgrade_types::clock;

/// Stage of a request with its expected duration.
#[derive(Clone, Copy, Debug)]
pub struct Step<'a> {
    /// Indices of the earlier stages whose results the stage uses.
    pub after: &'a [usize],
    /// Expected duration; zero if the request skips the stage.
    pub span: clock::Millis,
}

/// Expected duration of all stages, of which those that do not need each other run concurrently.
pub fn length(steps: &[Step<'_>]) -> clock::Millis {
    let mut ends: Vec<clock::Millis> = Vec::with_capacity(steps.len());
    for step in steps {
        let before = step.after.iter().filter_map(|after| ends.get(*after));
        let start = before.max().copied().unwrap_or_default();
        ends.push(start.plus(step.span));
    }
    ends.into_iter().max().unwrap_or_default()
}

/// Expected time from the end of the stage at `index` to the end of all stages that depend on it.
pub fn remaining(steps: &[Step<'_>], index: usize) -> clock::Millis {
    let mut remaining = vec![clock::Millis::ZERO; steps.len()];
    for (own, step) in steps.iter().enumerate().rev() {
        let through = remaining[own].plus(step.span);
        for after in step.after {
            if let Some(known) = remaining.get_mut(*after) {
                *known = (*known).max(through);
            }
        }
    }
    remaining.get(index).copied().unwrap_or_default()
}
