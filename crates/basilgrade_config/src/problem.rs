//! What is wrong with a text.

use std::error;
use std::fmt;

use compact_str::CompactString;
use serde::Serialize;

use crate::limits;

/// One fault in a configuration or settings file.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Problem {
    /// The file, as named by the caller.
    pub file: CompactString,
    /// The line, from 1.
    pub line: usize,
    /// The header of the section without brackets; empty before the first section.
    pub section: String,
    /// The key; empty if the fault is in the section itself.
    pub key: String,
    /// What is there.
    pub found: String,
    /// What should be there.
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

/// All faults found in one text, in order of line.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
pub struct Problems {
    /// The faults; at most [`limits::PROBLEMS`].
    pub items: Vec<Problem>,
    /// How many more were found.
    pub more: usize,
}

impl Problems {
    /// Whether nothing is wrong.
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Whether further faults are only counted.
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

    /// The value if nothing is wrong, else the faults in order of line.
    pub(crate) fn finish<T>(self, value: T) -> Result<T, Self> {
        if self.is_empty() {
            return Ok(value);
        }
        Err(self.sorted())
    }

    /// The faults in order of line.
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
            write!(f, "\nand {} more; correct these first", self.more)?;
        }
        Ok(())
    }
}

impl error::Error for Problems {}
