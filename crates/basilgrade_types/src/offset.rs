//! Offsets of records in the streams of the log service.

use std::fmt;
use std::str;

use serde::Deserialize;
use serde::Serialize;

use crate::parse;

/// The position of a record in its stream of the log service, counted from 0.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct Offset(pub u64);

impl Offset {
    /// The offset of the record after this one.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl fmt::Display for Offset {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl str::FromStr for Offset {
    type Err = parse::ParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse()
            .map(Self)
            .map_err(|_| parse::ParseError::new(text, "a log offset"))
    }
}
