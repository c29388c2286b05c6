//! Job that waits in a queue.

use basilgrade_types::clock;

use crate::batch::call;
use crate::batch::cells;
use crate::batch::job;
use crate::batch::order;
use crate::batch::policy;
use crate::batch::terms;
use crate::model::handle;

/// Longest time for which a job waits for an upstream in its failure domain while upstreams in
/// others are free; about the time of one call.
const LOCAL_WAIT_LIMIT: clock::Millis = clock::Millis(400);

/// Job with pieces that are not computed yet.
#[derive(Debug)]
pub(super) struct QueuedJob {
    pub(super) job: job::Job,
    pub(super) terms: terms::JobTerms,
    pub(super) submitted_at: clock::Millis,
    pub(super) target_at: clock::Millis,
    pub(super) deadline: clock::Millis,
    pub(super) results: Vec<Option<handle::Handle>>,
    /// Indices of the pieces that are neither computed nor in a running call.
    pub(super) unsent: Vec<u32>,
    /// Number of pieces whose inputs the upstreams have fetched.
    pub(super) fetched: u32,
    /// Number of times that a piece was returned to `unsent` after a call.
    pub(super) retries: u32,
}

impl QueuedJob {
    /// Whether the pieces are computed from results of earlier stages, which expire.
    pub(super) fn needs_inputs(&self) -> bool {
        matches!(self.job.source, job::Source::Results(_))
    }

    /// Place of the job in a queue whose calls take about `call`.
    pub(super) fn rank(
        &self,
        order: policy::Order,
        now: clock::Millis,
        call: clock::Millis,
    ) -> order::Rank {
        let candidate = order::Candidate {
            priority: self.job.priority,
            submitted_at: self.submitted_at,
            target_at: self.target_at,
            deadline: self.deadline,
        };
        order::Rank::new(order, now, call, &candidate)
    }

    /// Takes the inputs, which all pieces have fetched; `None` if another stage needs them or they
    /// were taken before.
    pub(super) fn take_consumed(&mut self) -> Option<call::ConsumedInputs> {
        let job::Source::Results(handles) = &self.job.source else {
            return None;
        };
        let inputs = self.job.inputs.take()?;
        let handles = handles.clone();
        Some(call::ConsumedInputs { inputs, handles })
    }

    /// Time from which upstreams of other failure domains may process the pieces.
    pub(super) fn remote_from(&self) -> clock::Millis {
        let wait = self.job.fetch_size.0 as f64 / 1e6 * cells::TRANSFER_MS_PER_MB;
        let wait = clock::Millis(wait as u64).min(LOCAL_WAIT_LIMIT);
        self.submitted_at.plus(wait).min(self.target_at)
    }
}
