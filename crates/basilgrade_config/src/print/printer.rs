//! Writes INI text.

use std::fmt;
use std::fmt::Write as _;

/// Collects INI text; sections are separated by blank lines.
#[derive(Debug, Default)]
pub(super) struct Printer {
    pub(super) text: String,
}

impl Printer {
    /// Starts a section; `header` is written in brackets.
    pub(super) fn header(&mut self, header: &str) {
        if !self.text.is_empty() {
            self.text.push('\n');
        }
        // Writing to a `String` cannot fail.
        let _ = writeln!(self.text, "[{header}]");
    }

    /// Adds a `key = value` line to the section started last.
    pub(super) fn entry(&mut self, key: &str, value: impl fmt::Display) {
        let _ = writeln!(self.text, "{key} = {value}");
    }
}
