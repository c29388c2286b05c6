//! A job in a queue.

use basilgrade_types::clock;

use crate::batch::job;
use crate::model::handle;

/// Pieces wait for an upstream in the failure domain of their inputs, this long for each megabyte
/// that they would fetch from there: the price of a megabyte is that of late answers of this span.
const NEAR_WAIT_PER_MB: f64 = 100.0;

/// Longest such wait, about one call.
const NEAR_WAIT_LIMIT: clock::Millis = clock::Millis(400);

/// A job whose pieces are not all made.
#[derive(Debug)]
pub(super) struct Waiting {
    pub(super) job: job::Job,
    pub(super) since: clock::Millis,
    pub(super) aim_at: clock::Millis,
    pub(super) end_at: clock::Millis,
    pub(super) made: Vec<Option<handle::Handle>>,
    pub(super) unsent: Vec<u32>,
    /// Pieces whose inputs have been fetched.
    pub(super) fetched: u32,
    pub(super) repeats: u32,
}

impl Waiting {
    /// When upstreams of other failure domains may make the pieces.
    pub(super) fn far_from(&self) -> clock::Millis {
        let wait = self.job.fetched.0 as f64 / 1e6 * NEAR_WAIT_PER_MB;
        let wait = clock::Millis(wait as u64).min(NEAR_WAIT_LIMIT);
        self.since.plus(wait).min(self.aim_at)
    }
}
