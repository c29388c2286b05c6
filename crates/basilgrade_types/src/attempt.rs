//! Numbers of the attempts at one stage of a request.

use std::fmt;
use std::str;

use serde::Deserialize;
use serde::Serialize;

use crate::parse;

/// The number of an attempt at one stage of a request; the first attempt has number 0.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct Attempt(pub u32);

impl Attempt {
    /// The number of the attempt after this one.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl fmt::Display for Attempt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl str::FromStr for Attempt {
    type Err = parse::ParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse()
            .map(Self)
            .map_err(|_| parse::ParseError::new(text, "an attempt number"))
    }
}
