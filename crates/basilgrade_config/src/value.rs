//! Parsers of single values; on invalid input, each returns a description of the expected value.

use std::borrow;
use std::fmt;
use std::net;
use std::ops;
use std::str;

use basilgrade_types::clock;
use basilgrade_types::parse;

use crate::limits;

/// A description of the valid values, printed after `expected` in error messages.
pub(crate) type Expected = borrow::Cow<'static, str>;

/// Parses a value with its `FromStr` implementation.
pub(crate) fn parsed<T>(text: &str) -> Result<T, Expected>
where
    T: str::FromStr<Err = parse::ParseError>,
{
    text.parse().map_err(|error| {
        let parse::ParseError::Invalid(_, expected) = error;
        Expected::Borrowed(expected)
    })
}

/// Returns a parser that accepts only values within `range`.
pub(crate) fn bounded<T>(range: ops::RangeInclusive<T>) -> impl Fn(&str) -> Result<T, Expected>
where
    T: fmt::Display + PartialOrd + str::FromStr<Err = parse::ParseError>,
{
    move |text| {
        let value = parsed(text)?;
        if range.contains(&value) {
            return Ok(value);
        }
        Err(format!("a value from {} to {}", range.start(), range.end()).into())
    }
}

/// Parses a duration from 1 ms to [`limits::TIME_MS`].
pub(crate) fn duration(text: &str) -> Result<clock::Millis, Expected> {
    bounded(clock::Millis(1)..=clock::Millis(limits::TIME_MS))(text)
}

/// Returns a parser of whole numbers within `range`.
pub(crate) fn integer(range: ops::RangeInclusive<u32>) -> impl Fn(&str) -> Result<u32, Expected> {
    move |text| {
        let value = text.parse().ok().filter(|value| range.contains(value));
        value.ok_or_else(|| {
            format!("a whole number from {} to {}", range.start(), range.end()).into()
        })
    }
}

/// Parses a finite number that is at least 0.
pub(crate) fn weight(text: &str) -> Result<f64, Expected> {
    text.parse()
        .ok()
        .filter(|value: &f64| value.is_finite() && *value >= 0.0)
        .ok_or(Expected::Borrowed("a number that is at least 0"))
}

/// Parses `true` or `false`.
pub(crate) fn boolean(text: &str) -> Result<bool, Expected> {
    text.parse()
        .map_err(|_| Expected::Borrowed("`true` or `false`"))
}

/// Parses an IP address and a port; port 0 is rejected, because it names no fixed port.
pub(crate) fn address(text: &str) -> Result<net::SocketAddr, Expected> {
    text.parse()
        .ok()
        .filter(|address: &net::SocketAddr| address.port() != 0)
        .ok_or(Expected::Borrowed(
            "an IP address and a port, such as `10.0.1.5:8080` or `[fd00::5]:8080`",
        ))
}

/// Splits a comma-separated list; an empty text is an empty list, empty items are rejected.
pub(crate) fn list(text: &str) -> Result<Vec<String>, Expected> {
    if text.is_empty() {
        return Ok(Vec::new());
    }
    let items: Vec<String> = text.split(',').map(|item| item.trim().to_owned()).collect();
    if items.len() > limits::LIST_ITEMS {
        return Err(format!("at most {} items", limits::LIST_ITEMS).into());
    }
    if items.iter().any(String::is_empty) {
        return Err(Expected::Borrowed("items separated by single commas"));
    }
    Ok(items)
}
