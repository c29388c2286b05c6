//! The plan for the remaining stages of a request.

use basilgrade_types::clock;
use basilgrade_types::size;

/// What is done at a stage.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Action {
    /// The stage is run as declared.
    Run,
    /// At most this many tokens are generated.
    Shorten(size::TokenCount),
    /// The stage is left out.
    Skip,
    /// The pool declared as substitute serves the stage.
    Substitute,
}

/// One stage in a plan.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Step {
    /// What is done.
    pub action: Action,
    /// Instant by which the stage should be done.
    pub deadline: clock::Millis,
}

/// The remaining stages of a request in order.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Plan {
    /// One step for each remaining stage.
    pub steps: Vec<Step>,
}
