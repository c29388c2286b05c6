//! Incarnations, which distinguish the runs of a daemon on the same VM.

use std::fmt;
use std::str;

use serde::Deserialize;
use serde::Serialize;

use crate::clock;
use crate::parse;

/// The start time of a daemon process, in milliseconds since the Unix epoch.
///
/// A restarted daemon has a higher incarnation, so that messages and records of its previous run
/// are not attributed to the new run.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

impl From<clock::Millis> for Incarnation {
    fn from(start: clock::Millis) -> Self {
        Self(start.0)
    }
}

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl str::FromStr for Incarnation {
    type Err = parse::ParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse()
            .map(Self)
            .map_err(|_| parse::ParseError::new(text, "a start time in milliseconds"))
    }
}
