//! Detection of pauses of this process.

use basilgrade_types::clock;

use crate::timing;

/// Detects pauses of this process by the gaps between calls of `observe`.
///
/// After a pause, every peer looks silent although only this process was not running. The silence
/// of peers is therefore measured from the end of the pause, and no status changes for one round.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PauseDetector {
    last_call: clock::Millis,
    /// End of the last pause, or the start of the process if there was none.
    resumed_at: clock::Millis,
}

impl PauseDetector {
    pub(crate) fn new(now: clock::Millis) -> Self {
        Self {
            last_call: now,
            resumed_at: now,
        }
    }

    /// Records a call at `now`; returns the length of the pause that the call ends, if any.
    pub(crate) fn observe(&mut self, now: clock::Millis) -> Option<clock::Millis> {
        let gap = now.since(self.last_call);
        self.last_call = self.last_call.max(now);
        if gap <= timing::PAUSE_THRESHOLD {
            return None;
        }
        self.resumed_at = now;
        Some(gap)
    }

    /// Earliest time from which the silence of peers is measured.
    pub(crate) fn resumed_at(&self) -> clock::Millis {
        self.resumed_at
    }

    /// Whether a pause ended less than a round ago, or one has lasted until `now` and `observe` has
    /// not been called since.
    pub(crate) fn is_recent(&self, now: clock::Millis) -> bool {
        now.since(self.resumed_at) < timing::ROUND_INTERVAL
            || now.since(self.last_call) > timing::PAUSE_THRESHOLD
    }
}
