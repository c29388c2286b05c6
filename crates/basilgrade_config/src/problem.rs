//! Problems found in a configuration or settings file.

use std::error;
use std::fmt;

use compact_str::CompactString;
use serde::Serialize;

use crate::limits;

/// One problem in a configuration or settings file.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Problem {
    /// The file name that the caller of the parser gave.
    pub file: CompactString,
    /// The line number, from 1.
    pub line: usize,
    /// The header of the section without brackets; empty before the first section.
    pub section: String,
    /// The key; empty if the problem concerns the whole section or line.
    pub key: String,
    /// Describes the invalid or missing part of the file, such as `the key is missing`.
    pub found: String,
    /// Describes what would be valid instead, such as `a whole number from 1 to 64`.
    pub expected: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: ", self.file, self.line)?;
        if !self.section.is_empty() {
            write!(f, "[{}] ", self.section)?;
        }
        if !self.key.is_empty() {
            write!(f, "`{}`: ", self.key)?;
        }
        write!(f, "{}; expected {}", self.found, self.expected)
    }
}

/// The problems found in one file, sorted by line once the file is read.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
pub struct Problems {
    /// The reported problems; at most [`limits::PROBLEMS`].
    pub items: Vec<Problem>,
    /// The number of problems beyond [`limits::PROBLEMS`], which are counted but not kept.
    pub more: usize,
}

impl Problems {
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Whether [`limits::PROBLEMS`] is reached, so that further problems are only counted.
    pub(crate) fn is_full(&self) -> bool {
        self.items.len() >= limits::PROBLEMS
    }

    pub(crate) fn push(&mut self, problem: Problem) {
        if self.is_full() {
            self.more += 1;
        } else {
            self.items.push(problem);
        }
    }

    /// Returns `value` if there are no problems, otherwise the problems sorted by line.
    pub(crate) fn finish<T>(self, value: T) -> Result<T, Self> {
        if self.is_empty() {
            return Ok(value);
        }
        Err(self.sorted())
    }

    /// Sorts the problems by line, then by key.
    pub(crate) fn sorted(mut self) -> Self {
        self.items
            .sort_by(|a, b| a.line.cmp(&b.line).then_with(|| a.key.cmp(&b.key)));
        self
    }
}

impl fmt::Display for Problems {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, problem) in self.items.iter().enumerate() {
            if index > 0 {
                f.write_str("\n")?;
            }
            write!(f, "{problem}")?;
        }
        if self.more > 0 {
            write!(
                f,
                "\nand {} more; correct the listed problems first",
                self.more
            )?;
        }
        Ok(())
    }
}

impl error::Error for Problems {}
