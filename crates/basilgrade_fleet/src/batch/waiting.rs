//! A job in a queue.

use basilgrade_types::clock;

use crate::batch::call;
use crate::batch::cells;
use crate::batch::job;
use crate::model::handle;

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
    /// Whether the pieces need results, which expire.
    pub(super) fn holds_inputs(&self) -> bool {
        matches!(self.job.source, job::Source::Results(_))
    }

    /// The inputs, when they have been used and nothing else needs them; at most once.
    pub(super) fn take_spent(&mut self) -> Option<call::ConsumedInputs> {
        let job::Source::Results(handles) = &self.job.source else {
            return None;
        };
        let inputs = self.job.inputs.take()?;
        let handles = handles.clone();
        Some(call::ConsumedInputs { inputs, handles })
    }

    /// When upstreams of other failure domains may make the pieces.
    pub(super) fn far_from(&self) -> clock::Millis {
        let wait = self.job.fetch_size.0 as f64 / 1e6 * cells::MS_PER_MB;
        let wait = clock::Millis(wait as u64).min(NEAR_WAIT_LIMIT);
        self.since.plus(wait).min(self.aim_at)
    }
}
