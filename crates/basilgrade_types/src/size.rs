//! Sizes in bytes and in tokens.

use std::fmt;
use std::str;

use serde::Deserialize;
use serde::Serialize;

use crate::parse;

/// A number of bytes, such as a size or a limit.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct ByteCount(pub u64);

impl fmt::Display for ByteCount {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}B", self.0)
    }
}

impl str::FromStr for ByteCount {
    type Err = parse::ParseError;

    /// Parses a whole number with one of the units `B`, `MB`, `KiB`, `MiB` and `GiB`, such as `64KiB`.
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let invalid = || parse::ParseError::new(text, "a size with unit, such as `64KiB`");
        let unit_start = text
            .find(|c: char| !c.is_ascii_digit())
            .ok_or_else(invalid)?;
        let (digits, unit) = text.split_at(unit_start);
        let value: u64 = digits.parse().map_err(|_| invalid())?;
        let factor: u64 = match unit {
            "B" => 1,
            "MB" => 1_000_000,
            "KiB" => 1 << 10,
            "MiB" => 1 << 20,
            "GiB" => 1 << 30,
            _ => return Err(invalid()),
        };
        value.checked_mul(factor).map(Self).ok_or_else(invalid)
    }
}

/// A number of tokens that a language model reads or generates.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct TokenCount(pub u64);

impl fmt::Display for TokenCount {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl str::FromStr for TokenCount {
    type Err = parse::ParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse()
            .map(Self)
            .map_err(|_| parse::ParseError::new(text, "a whole number of tokens"))
    }
}
