//! Deltas between configuration texts, as published to the log.
//!
//! A delta is a text. It starts with a format line and the digests of the base text and of the
//! result; then it lists steps over the sections of the base text, in order.
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
//! `keep` copies that many sections of the base to the result, `drop` omits that many, and `add`
//! inserts that many bytes, which follow its line. Text before the first section header counts as
//! a section.

pub mod error;

mod chunks;
mod section_matching;
mod steps;

use crate::digest;
use crate::limits;

/// The first line of a delta: the name and version of the format.
const FORMAT: &str = "basilgrade-delta 1";

/// Computes the delta that turns the text `base` into the text `new`.
///
/// The result is deterministic. Its size depends on the changed sections, not on the whole text.
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

/// Applies a delta to the text `base`, for which it was computed.
///
/// # Errors
///
/// If the delta is malformed, was computed for another base text, or produces a text that is too
/// long or does not have the recorded digest.
pub fn merge(base: &str, delta: &str) -> Result<String, error::DeltaError> {
    let rest = delta
        .strip_prefix(FORMAT)
        .and_then(|rest| rest.strip_prefix('\n'))
        .ok_or(error::DeltaError::Malformed(
            "a first line with the delta format and its version",
        ))?;
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
        if text.len() > limits::TEXT_BYTES {
            return Err(error::DeltaError::TooLong);
        }
    }
    if !remaining.is_empty() || digest::Digest::of(&text) != result {
        return Err(error::DeltaError::WrongResult);
    }
    Ok(text)
}

/// Parses the first line of `text`, which consists of `word` and a digest.
///
/// Returns the digest and the text after the line.
fn read_digest<'a>(
    text: &'a str,
    word: &'static str,
) -> Result<(digest::Digest, &'a str), error::DeltaError> {
    let malformed = || error::DeltaError::Malformed("a line `base DIGEST` or `result DIGEST`");
    let (line, rest) = text.split_once('\n').ok_or_else(malformed)?;
    let digest = line.strip_prefix(word).ok_or_else(malformed)?;
    Ok((digest.parse().map_err(|_| malformed())?, rest))
}
