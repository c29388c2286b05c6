//! What callers got.

/// Ends of one kind of request.
#[derive(Clone, Debug, Default)]
pub(crate) struct Ends {
    pub(crate) owed: usize,
    pub(crate) in_time: usize,
    pub(crate) late: usize,
    pub(crate) refused: usize,
    pub(crate) failed: usize,
    /// Refused attempts that were sent once more.
    pub(crate) returned: usize,
    /// Times until refusals, in ms.
    pub(crate) refused_after: u64,
}

/// Ends of a day.
#[derive(Clone, Debug, Default)]
pub(crate) struct Report {
    pub(crate) kinds: Vec<Ends>,
    pub(crate) calls: u64,
    pub(crate) pieces: u64,
    /// Pieces of full calls of the same number.
    pub(crate) places: u64,
    pub(crate) no_room: u64,
    pub(crate) input_gone: u64,
    /// Bytes of results that crossed failure domains.
    pub(crate) crossed: u64,
}

impl Report {
    /// Share of the worth that was earned; `late` tells whether late answers count.
    pub(crate) fn worth(&self, worth: &[(f64, f64)], late: bool) -> f64 {
        let mut earned = 0.0;
        let mut owed = 0.0;
        for (ends, (whole, part)) in self.kinds.iter().zip(worth) {
            earned += ends.in_time as f64 * whole;
            if late {
                earned += ends.late as f64 * part;
            }
            owed += ends.owed as f64 * whole;
        }
        earned / owed
    }
}
