//! The priority that an engine is asked to give a call.

use basilgrade_types::clock;

/// Slack below which a call is urgent.
///
/// About the time of one call in a busy batch: a call with less slack cannot wait for a place.
const URGENT: clock::Millis = clock::Millis(3000);

/// Order in which an engine serves the calls that wait for it.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Priority {
    /// Served first.
    Urgent,
    /// Served when no urgent call waits.
    Normal,
}

impl Priority {
    /// The priority of a call that needs `need` and has to be done in `left`.
    pub fn of(left: clock::Millis, need: clock::Millis) -> Self {
        if left - need < URGENT {
            Self::Urgent
        } else {
            Self::Normal
        }
    }
}
