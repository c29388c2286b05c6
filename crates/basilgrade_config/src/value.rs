//! Readers of single values; each gives what was expected if the text does not fit.

use std::borrow;
use std::fmt;
use std::net;
use std::ops;
use std::str;

use basilgrade_types::clock;
use basilgrade_types::parse;

use crate::limits;

/// What should have been there.
pub(crate) type Expected = borrow::Cow<'static, str>;

/// A type of this project that reads itself.
pub(crate) fn parsed<T>(text: &str) -> Result<T, Expected>
where
    T: str::FromStr<Err = parse::ParseError>,
{
    text.parse().map_err(|error| {
        let parse::ParseError::Invalid(_, expected) = error;
        Expected::Borrowed(expected)
    })
}

/// A type of this project with the least and the greatest value allowed.
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

/// A positive time.
pub(crate) fn time(text: &str) -> Result<clock::Millis, Expected> {
    bounded(clock::Millis(1)..=clock::Millis(limits::TIME_MS))(text)
}

/// A whole number within a range.
pub(crate) fn whole(range: ops::RangeInclusive<u32>) -> impl Fn(&str) -> Result<u32, Expected> {
    move |text| {
        let value = text.parse().ok().filter(|value| range.contains(value));
        value.ok_or_else(|| {
            format!("a whole number from {} to {}", range.start(), range.end()).into()
        })
    }
}

/// A finite number that is at least 0.
pub(crate) fn weight(text: &str) -> Result<f64, Expected> {
    text.parse()
        .ok()
        .filter(|value: &f64| value.is_finite() && *value >= 0.0)
        .ok_or(Expected::Borrowed("a number that is at least 0"))
}

/// `true` or `false`.
pub(crate) fn boolean(text: &str) -> Result<bool, Expected> {
    text.parse()
        .map_err(|_| Expected::Borrowed("`true` or `false`"))
}

/// An IP address and a port.
pub(crate) fn address(text: &str) -> Result<net::SocketAddr, Expected> {
    text.parse()
        .ok()
        .filter(|address: &net::SocketAddr| address.port() != 0)
        .ok_or(Expected::Borrowed(
            "an IP address and a port, such as `10.0.1.5:8080` or `[fd00::5]:8080`",
        ))
}

/// Texts separated by commas; an empty text is an empty list.
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
