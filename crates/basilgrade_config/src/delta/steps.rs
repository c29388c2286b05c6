//! The steps of a delta: `keep`, `drop` and `add`.

use std::fmt::Write as _;

use crate::delta::error;
use crate::delta::section_matching;

/// One step over the sections of the base text.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum Step<'a> {
    /// Inserts these sections into the result.
    Add(Vec<&'a str>),
    /// Omits this many sections of the base text.
    Drop(usize),
    /// Copies this many sections of the base text to the result.
    Keep(usize),
}

/// Returns the steps that turn the sections `old` into the sections `new`.
pub(super) fn between<'a>(old: &[&str], new: &[&'a str]) -> Vec<Step<'a>> {
    let mut steps = Vec::new();
    let mut next = 0;
    for (position, section) in section_matching::match_positions(old, new)
        .into_iter()
        .zip(new)
    {
        if let Some(position) = position {
            push(&mut steps, Step::Drop(position - next));
            push(&mut steps, Step::Keep(1));
            next = position + 1;
        } else {
            push(&mut steps, Step::Add(vec![section]));
        }
    }
    push(&mut steps, Step::Drop(old.len() - next));
    steps
}

/// Appends a step; merges it into the last step if both are of the same kind.
fn push<'a>(steps: &mut Vec<Step<'a>>, step: Step<'a>) {
    match (steps.last_mut(), step) {
        (_, Step::Drop(0)) => {}
        (Some(Step::Keep(count)), Step::Keep(more))
        | (Some(Step::Drop(count)), Step::Drop(more)) => *count += more,
        (Some(Step::Add(sections)), Step::Add(more)) => sections.extend(more),
        (_, step) => steps.push(step),
    }
}

impl<'a> Step<'a> {
    /// Appends the step to the text of a delta.
    pub(super) fn write(&self, text: &mut String) {
        // Writing to a `String` cannot fail.
        let _ = match self {
            Self::Add(sections) => {
                let bytes: usize = sections.iter().map(|section| section.len()).sum();
                write!(text, "add {bytes}\n{}", sections.concat())
            }
            Self::Drop(count) => writeln!(text, "drop {count}"),
            Self::Keep(count) => writeln!(text, "keep {count}"),
        };
    }

    /// Parses the first step of `text`; returns the step and the text after it.
    pub(super) fn read(text: &'a str) -> Result<(Self, &'a str), error::DeltaError> {
        let malformed =
            || error::DeltaError::Malformed("a line with `keep`, `drop` or `add` and a number");
        let (line, rest) = text.split_once('\n').ok_or_else(malformed)?;
        let (word, number) = line.split_once(' ').ok_or_else(malformed)?;
        let number: usize = number.parse().map_err(|_| malformed())?;
        match word {
            "add" => {
                let (section, rest) =
                    rest.split_at_checked(number)
                        .ok_or(error::DeltaError::Malformed(
                            "as many bytes after `add` as its number says",
                        ))?;
                Ok((Self::Add(vec![section]), rest))
            }
            "drop" => Ok((Self::Drop(number), rest)),
            "keep" => Ok((Self::Keep(number), rest)),
            _ => Err(malformed()),
        }
    }

    /// Applies the step to the remaining sections of the base text and appends the output to
    /// `text`.
    ///
    /// Returns the sections that remain for the next step.
    pub(super) fn apply<'b>(
        &self,
        base: &'b [&'b str],
        text: &mut String,
    ) -> Result<&'b [&'b str], error::DeltaError> {
        let split = |count: usize| {
            base.split_at_checked(count)
                .ok_or(error::DeltaError::Malformed(
                    "no more `keep` and `drop` sections than the base text has",
                ))
        };
        match self {
            Self::Add(sections) => {
                text.extend(sections.iter().copied());
                Ok(base)
            }
            Self::Drop(count) => Ok(split(*count)?.1),
            Self::Keep(count) => {
                let (kept, left) = split(*count)?;
                text.extend(kept.iter().copied());
                Ok(left)
            }
        }
    }
}
