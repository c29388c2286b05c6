//! Writes INI lines.

use std::fmt;
use std::fmt::Write as _;

/// INI text being written.
#[derive(Debug, Default)]
pub(super) struct Printer {
    pub(super) text: String,
}

impl Printer {
    /// Starts a section.
    pub(super) fn header(&mut self, header: &str) {
        if !self.text.is_empty() {
            self.text.push('\n');
        }
        // Writing to a `String` does not fail.
        let _ = writeln!(self.text, "[{header}]");
    }

    /// Adds a key to the section.
    pub(super) fn key(&mut self, key: &str, value: impl fmt::Display) {
        let _ = writeln!(self.text, "{key} = {value}");
    }
}
