//! This daemon's own attempts to reach a VM.

use basilgrade_types::clock;

/// Result of one of this daemon's own attempts to reach a VM.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The daemon on the VM answered.
    Answered,
    /// The connection failed, or no answer arrived in time.
    Failed,
}

/// Start times of this daemon's newest attempts to reach a VM; zero if there was none.
///
/// A failure is evidence of death only if its attempt began after the last sign of life.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Contact {
    pub(crate) answered_at: clock::Millis,
    pub(crate) failed_at: clock::Millis,
    /// When the outstanding probe was sent.
    pub(crate) probe_sent: Option<clock::Millis>,
}
