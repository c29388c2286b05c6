//! Terms on which the stages of a request run.

use basilgrade_types::clock;

/// Terms on which the stages of a request run.
#[derive(Clone, Copy, Debug)]
pub struct Terms {
    /// Time by which an upstream must have the results.
    pub send_by: clock::Millis,
    /// Whether the caller has a part of the answer.
    pub has_begun: bool,
}
