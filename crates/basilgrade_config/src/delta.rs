//! The difference between two configuration texts, for the log.
//!
//! A delta is text: a first line with the format, the digests of the base and of the result, and
//! steps over the sections of the base.
//!
//! ```text
//! basilgrade-delta 1
//! base 5f0c…
//! result 93a1…
//! keep 3000
//! drop 1
//! add 61
//! [customer graduacion-sur]
//! rate = 50/s
//! …
//! keep 1199
//! ```
//!
//! `keep` and `drop` count sections of the base; `add` counts the bytes that follow it.

pub mod error;

mod chunks;
mod sequence;
mod steps;

use crate::digest;
use crate::limits;

const FORMAT: &str = "basilgrade-delta 1";

/// The delta that turns the text `base` into the text `new`.
///
/// Equal arguments give equal deltas. The size depends on the changed sections, not on the whole
/// text.
pub fn delta(base: &str, new: &str) -> String {
    let mut text = format!(
        "{FORMAT}\nbase {}\nresult {}\n",
        digest::Digest::of(base),
        digest::Digest::of(new)
    );
    let old = chunks::split(base);
    for step in steps::between(&old, &chunks::split(new)) {
        step.write(&mut text);
    }
    text
}

/// Applies a delta to the text that it was made for.
///
/// # Errors
///
/// If the delta is malformed, was made for another base, or gives another result than recorded.
pub fn merge(base: &str, delta: &str) -> Result<String, error::DeltaError> {
    let rest = delta
        .strip_prefix(FORMAT)
        .and_then(|rest| rest.strip_prefix('\n'))
        .ok_or(error::DeltaError::Malformed("the format line"))?;
    let (expected, rest) = read_digest(rest, "base ")?;
    let (result, mut rest) = read_digest(rest, "result ")?;
    let found = digest::Digest::of(base);
    if found != expected {
        return Err(error::DeltaError::WrongBase(expected, found));
    }
    let chunks = chunks::split(base);
    let mut remaining = &chunks[..];
    let mut text = String::with_capacity(base.len());
    while !rest.is_empty() {
        let (step, after) = steps::Step::read(rest)?;
        rest = after;
        remaining = step.apply(remaining, &mut text)?;
        if text.len() > limits::TEXT {
            return Err(error::DeltaError::TooLong);
        }
    }
    if !remaining.is_empty() || digest::Digest::of(&text) != result {
        return Err(error::DeltaError::WrongResult);
    }
    Ok(text)
}

/// Reads a digest line and gives the text after it.
fn read_digest<'a>(
    text: &'a str,
    word: &'static str,
) -> Result<(digest::Digest, &'a str), error::DeltaError> {
    let malformed = || error::DeltaError::Malformed("a digest line");
    let (line, rest) = text.split_once('\n').ok_or_else(malformed)?;
    let digest = line.strip_prefix(word).ok_or_else(malformed)?;
    Ok((digest.parse().map_err(|_| malformed())?, rest))
}
