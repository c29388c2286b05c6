//! Waits between attempts to write to a store that refuses.

use basilgrade_types::clock;

/// Wait after the first failure.
const FIRST_WAIT: clock::Millis = clock::Millis(500);

/// Maximum wait. Each attempt is billed, and a store that refuses one machine does so for seconds.
const MAX_WAIT: clock::Millis = clock::Millis(4000);

/// Wait that doubles with each consecutive failure.
#[derive(Clone, Debug)]
pub(super) struct Backoff {
    next: clock::Millis,
}

impl Default for Backoff {
    fn default() -> Self {
        Self { next: FIRST_WAIT }
    }
}

impl Backoff {
    /// Waits after a failure.
    pub(super) async fn wait(&mut self) {
        tokio::time::sleep(self.next.duration()).await;
        self.next = self.next.times(2).min(MAX_WAIT);
    }

    /// Records a success.
    pub(super) fn reset(&mut self) {
        *self = Self::default();
    }
}
