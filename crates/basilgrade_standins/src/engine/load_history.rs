//! Load as it was some time ago.

use std::collections;
use std::time;

/// Entries kept; older ones than the lag are only needed for the newest of them.
const LIMIT: usize = 4096;

/// Past load, so that reports can lag.
#[derive(Debug, Default)]
pub(super) struct LoadHistory {
    entries: collections::VecDeque<(time::Instant, usize, usize)>,
}

impl LoadHistory {
    pub(super) fn add(&mut self, now: time::Instant, running: usize, queued: usize) {
        if self.entries.len() == LIMIT {
            self.entries.pop_front();
        }
        self.entries.push_back((now, running, queued));
    }

    /// Running and queued generations `lag` before `now`.
    pub(super) fn at(&self, now: time::Instant, lag: time::Duration) -> (usize, usize) {
        self.entries
            .iter()
            .rev()
            .find(|(at, ..)| now.duration_since(*at) >= lag)
            .map_or((0, 0), |(_, running, queued)| (*running, *queued))
    }
}
