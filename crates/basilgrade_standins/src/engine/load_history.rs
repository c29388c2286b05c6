//! History of the load of an engine, for load reports that lag.

use std::collections;
use std::time;

/// Maximum number of entries. A report needs only the newest entry that is older than the lag.
const ENTRY_LIMIT: usize = 4096;

/// Numbers of running and queued generations by time.
#[derive(Debug, Default)]
pub(super) struct LoadHistory {
    entries: collections::VecDeque<(time::Instant, usize, usize)>,
}

impl LoadHistory {
    pub(super) fn add(&mut self, now: time::Instant, running: usize, queued: usize) {
        if self.entries.len() == ENTRY_LIMIT {
            self.entries.pop_front();
        }
        self.entries.push_back((now, running, queued));
    }

    /// Returns the numbers of running and queued generations at the time `now - lag`.
    pub(super) fn at(&self, now: time::Instant, lag: time::Duration) -> (usize, usize) {
        self.entries
            .iter()
            .rev()
            .find(|(at, ..)| now.duration_since(*at) >= lag)
            .map_or((0, 0), |(_, running, queued)| (*running, *queued))
    }
}
