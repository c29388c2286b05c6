//! Counts of the decisions of a queue, for metrics and logs.

/// Decisions of a queue since they were last taken.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Decisions {
    /// Dispatches in which jobs of a priority did not all fit before their targets.
    pub overloads: u64,
    /// Dispatches in which customers took turns.
    pub turns: u64,
    /// Jobs that were kept from a slow upstream, in calls to it.
    pub kept: u64,
    /// Jobs ended without a call, as they could not end in time.
    pub dropped: u64,
}
