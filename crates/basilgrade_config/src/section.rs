//! Sections of an INI text with the line number of each key.

use compact_str::CompactString;

/// A `key = value` line; `line` counts from 1.
#[derive(Clone, Debug)]
pub(crate) struct Entry {
    pub(crate) key: CompactString,
    pub(crate) value: CompactString,
    pub(crate) line: usize,
}

/// An INI section; `entries` keep the order of the text.
#[derive(Clone, Debug, Default)]
pub(crate) struct Section {
    /// The header without brackets, its words separated by single spaces.
    pub(crate) header: CompactString,
    pub(crate) line: usize,
    pub(crate) entries: Vec<Entry>,
}

impl Section {
    /// The first word of the header, which tells what the section declares, such as `pool`.
    pub(crate) fn kind(&self) -> &str {
        self.header.split(' ').next().unwrap_or_default()
    }

    /// The words of the header after the first: the names that the section declares or refers to.
    pub(crate) fn names(&self) -> Vec<&str> {
        self.header.split(' ').skip(1).collect()
    }

    /// The unparsed value of `key`, if the section has the key.
    pub(crate) fn value(&self, key: &str) -> Option<&str> {
        let entry = self.entries.iter().find(|entry| entry.key == key)?;
        Some(&entry.value)
    }

    /// The line of `key`, or of the section header if the key is missing.
    pub(crate) fn line_of(&self, key: &str) -> usize {
        let entry = self.entries.iter().find(|entry| entry.key == key);
        entry.map_or(self.line, |entry| entry.line)
    }
}
