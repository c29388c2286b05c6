//! Own attempts to reach a VM.

use basilgrade_types::clock;

/// How an own attempt to reach a VM ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The daemon on it answered.
    Answered,
    /// No connection, or no answer in time.
    Failed,
}

/// The newest own attempts to reach a VM, by the time they started.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Contact {
    pub(crate) answered_at: clock::Millis,
    pub(crate) failed_at: clock::Millis,
    /// Start of a probe that is not answered yet.
    pub(crate) probe_sent: Option<clock::Millis>,
}
