//! Priority that an engine is asked to give a call.

use basilgrade_types::clock;

/// Slack below which a call is urgent: about the duration of one call in a full batch, because a
/// call with less slack cannot wait for a slot in the batch.
const URGENT_SLACK: clock::Millis = clock::Millis(3000);

/// Order in which an engine serves its queued calls.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Priority {
    /// Served before all calls of normal priority.
    Urgent,
    /// Served when no urgent call is queued.
    Normal,
}

impl Priority {
    /// Priority of a call that takes `expected_time` and has to finish within `time_left`.
    pub fn of(time_left: clock::Millis, expected_time: clock::Millis) -> Self {
        if time_left - expected_time < URGENT_SLACK {
            Self::Urgent
        } else {
            Self::Normal
        }
    }
}
