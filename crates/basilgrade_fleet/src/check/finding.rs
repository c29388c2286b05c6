//! Finding of the check of a configuration.

use std::fmt;

use compact_str::CompactString;
use serde::Serialize;

/// Something in a configuration that fails, has no effect, or contradicts something else.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Finding {
    /// List and index of the entry.
    pub place: CompactString,
    pub problem: String,
    /// What to do about it.
    pub remedy: String,
}

impl Finding {
    pub fn new(place: &str, problem: impl Into<String>, remedy: impl Into<String>) -> Self {
        Self {
            place: CompactString::new(place),
            problem: problem.into(),
            remedy: remedy.into(),
        }
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}; {}", self.place, self.problem, self.remedy)
    }
}
