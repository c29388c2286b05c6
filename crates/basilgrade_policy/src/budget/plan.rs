//! Plan for the remaining stages of a request.

use basilgrade_types::clock;
use basilgrade_types::size;

/// How a stage is executed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Action {
    /// The stage runs as declared.
    Run,
    /// The stage runs, but generates at most this number of tokens.
    Shorten(size::TokenCount),
    /// The stage is skipped.
    Skip,
    /// The stage runs on the pool that is declared as its substitute.
    Substitute,
}

/// Plan for one stage.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Step {
    /// How the stage is executed.
    pub action: Action,
    /// Instant by which the stage should be finished.
    pub deadline: clock::Millis,
}

/// Plan for the remaining stages of a request, in their order.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Plan {
    /// One step per remaining stage.
    pub steps: Vec<Step>,
}
