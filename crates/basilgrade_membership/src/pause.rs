//! Detection of pauses of the own process.

use basilgrade_types::clock;

use crate::timing;

/// Notices gaps between the node's own calls.
///
/// After a pause every peer looks silent, although only this process was. It therefore measures
/// the silence of others from the end of the pause, and judges nobody for one round.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PauseDetector {
    last: clock::Millis,
    /// End of the last pause, or the start of the process.
    resumed: clock::Millis,
}

impl PauseDetector {
    pub(crate) fn new(now: clock::Millis) -> Self {
        Self {
            last: now,
            resumed: now,
        }
    }

    /// Records a call at `now`; returns the length of the pause that it ends, if any.
    pub(crate) fn observe(&mut self, now: clock::Millis) -> Option<clock::Millis> {
        let gap = now.since(self.last);
        self.last = self.last.max(now);
        if gap <= timing::PAUSE_GAP {
            return None;
        }
        self.resumed = now;
        Some(gap)
    }

    /// When silence of others starts to count.
    pub(crate) fn resumed(&self) -> clock::Millis {
        self.resumed
    }

    /// Whether a pause ended less than a round ago, or lasts at `now` without having been noticed.
    pub(crate) fn is_recent(&self, now: clock::Millis) -> bool {
        now.since(self.resumed) < timing::ROUND || now.since(self.last) > timing::PAUSE_GAP
    }
}
