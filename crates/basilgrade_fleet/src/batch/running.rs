//! Call that an upstream has not answered yet.

use basilgrade_types::clock;
use basilgrade_types::id;

use crate::batch::call;

#[derive(Debug)]
pub(super) struct RunningCall {
    pub(super) upstream: id::UpstreamId,
    /// Job, piece number and approximate result size of each piece.
    pub(super) pieces: Vec<(call::JobId, u32, u64)>,
    /// Expected time at which the upstream starts the call.
    pub(super) started_at: clock::Millis,
    /// Time of the call at the normal speed of upstreams.
    pub(super) nominal_time: clock::Millis,
    pub(super) result_bytes: u64,
    /// Progress of the call at the upstream.
    pub(super) phase: Phase,
}

/// Progress of a call at its upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Phase {
    /// The upstream is busy with an earlier call.
    Queued,
    /// The upstream is fetching the inputs and is expected to have them at this time.
    Fetching(clock::Millis),
    /// The upstream has fetched the inputs.
    Fetched,
}

impl RunningCall {
    /// Expected time at which the inputs are fetched, or `None` unless the upstream is fetching
    /// them.
    pub(super) fn fetched_at(&self) -> Option<clock::Millis> {
        match self.phase {
            Phase::Fetching(at) => Some(at),
            Phase::Queued | Phase::Fetched => None,
        }
    }
}
