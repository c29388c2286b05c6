//! The paused clock of the tokio runtime as clock of the daemon.

use basilgrade_types::clock;
use tokio::time;

/// Follows the clock of the tokio runtime, which advances only while all tasks wait.
pub(crate) struct VirtualClock {
    start: time::Instant,
}

impl VirtualClock {
    /// Creates a clock that reads 1,000 s now.
    pub(crate) fn start() -> Self {
        Self {
            start: time::Instant::now(),
        }
    }
}

impl clock::Clock for VirtualClock {
    fn now(&self) -> clock::Millis {
        let elapsed = self.start.elapsed().as_millis() as u64;
        clock::Millis::from_secs(1000).plus(clock::Millis(elapsed))
    }
}
