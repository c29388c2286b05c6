//! Fencing numbers of orders to engines.

use std::fmt;
use std::str;

use serde::Deserialize;
use serde::Serialize;

use crate::parse;

/// The fencing number of an order: the log offset of the lease under which the order is sent.
///
/// Engines refuse an order whose fencing number is lower than one that they have seen, so that a
/// former lease holder can no longer change which models an engine holds.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct Fence(pub u64);

impl Fence {
    /// The next higher fencing number.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl fmt::Display for Fence {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl str::FromStr for Fence {
    type Err = parse::ParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse()
            .map(Self)
            .map_err(|_| parse::ParseError::new(text, "a fencing number"))
    }
}
