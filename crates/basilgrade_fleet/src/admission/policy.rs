//! Admission decisions that a deployment enables separately.

use std::str;

/// Whether a decision is enabled.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Switch {
    #[default]
    Off,
    On,
}

impl Switch {
    pub const fn is_on(self) -> bool {
        matches!(self, Self::On)
    }
}

impl str::FromStr for Switch {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "off" => Ok(Self::Off),
            "on" => Ok(Self::On),
            _ => Err(()),
        }
    }
}

/// Decisions on the path of a request; all of them are off by default.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Policy {
    /// Requests that would be late are refused with a probability while more urgent ones are late.
    pub protect_urgent: Switch,
    /// Refused callers return when the work ahead of them is expected to be done.
    pub drained_retry: Switch,
    /// Requests that were refused before are preferred, and their target counts from the first send.
    pub prefer_retried: Switch,
    /// Stage work of requests that can no longer be served is dropped before its next call.
    pub drop_unservable: Switch,
}
