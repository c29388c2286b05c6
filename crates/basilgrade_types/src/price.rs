//! Prices of network traffic and stage calls.

use std::fmt;
use std::str;

use serde::Deserialize;
use serde::Serialize;

use crate::parse;

/// A price in millionths of the currency that the deployment uses.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct Price(pub u64);

impl fmt::Display for Price {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl str::FromStr for Price {
    type Err = parse::ParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self).map_err(|_| {
            parse::ParseError::new(text, "a whole number of millionths of the currency")
        })
    }
}
