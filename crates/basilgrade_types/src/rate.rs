//! Request rates and byte rates.

use std::fmt;
use std::str;

use serde::Deserialize;
use serde::Serialize;

use crate::parse;
use crate::size;

fn parse_rate(number: &str, text: &str, expected: &'static str) -> Result<f64, parse::ParseError> {
    number
        .parse()
        .ok()
        .filter(|rate: &f64| rate.is_finite() && *rate >= 0.0)
        .ok_or_else(|| parse::ParseError::new(text, expected))
}

/// A request rate, in requests per second.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct RequestRate(pub f64);

impl fmt::Display for RequestRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", self.0)
    }
}

impl str::FromStr for RequestRate {
    type Err = parse::ParseError;

    /// Parses a number of requests per second, such as `40/s` or `0.5/s`.
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        const EXPECTED: &str = "a request rate with unit, such as `40/s`";
        let number = text
            .strip_suffix("/s")
            .ok_or_else(|| parse::ParseError::new(text, EXPECTED))?;
        parse_rate(number, text, EXPECTED).map(Self)
    }
}

/// A byte rate, in bytes per second.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct ByteRate(pub f64);

impl fmt::Display for ByteRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}B/s", self.0)
    }
}

impl str::FromStr for ByteRate {
    type Err = parse::ParseError;

    /// Parses a size per second, such as `200MiB/s`.
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let invalid = || parse::ParseError::new(text, "a byte rate with unit, such as `200MiB/s`");
        let number = text.strip_suffix("/s").ok_or_else(invalid)?;
        let size: size::ByteCount = number.parse().map_err(|_| invalid())?;
        Ok(Self(size.0 as f64))
    }
}
