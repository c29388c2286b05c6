//! Results of a simulated day.

/// Outcomes of the requests of one kind.
#[derive(Clone, Debug, Default)]
pub(crate) struct Outcomes {
    pub(crate) offered: usize,
    pub(crate) in_time: usize,
    pub(crate) late: usize,
    pub(crate) refused: usize,
    pub(crate) failed: usize,
    /// Refused requests that the caller sent a second time.
    pub(crate) retried: usize,
    /// Sum of the times from arrival to final refusal, in milliseconds.
    pub(crate) refused_after: u64,
}

/// Outcomes and totals of a simulated day.
#[derive(Clone, Debug, Default)]
pub(crate) struct Report {
    pub(crate) kinds: Vec<Outcomes>,
    pub(crate) calls: u64,
    pub(crate) pieces: u64,
    /// Pieces that the calls would have held if all of them had been full.
    pub(crate) call_capacity: u64,
    pub(crate) no_room: u64,
    pub(crate) input_gone: u64,
    /// Bytes of results that were transferred between failure domains.
    pub(crate) crossed_bytes: u64,
}

impl Report {
    /// Share of the possible value that was earned.
    ///
    /// `values` holds the value of an answer in time and of a late one for each kind; `count_late`
    /// tells whether late answers count.
    pub(crate) fn value_share(&self, values: &[(f64, f64)], count_late: bool) -> f64 {
        let mut earned = 0.0;
        let mut offered = 0.0;
        for (outcomes, (value, late_value)) in self.kinds.iter().zip(values) {
            earned += outcomes.in_time as f64 * value;
            if count_late {
                earned += outcomes.late as f64 * late_value;
            }
            offered += outcomes.offered as f64 * value;
        }
        earned / offered
    }
}
