//! One section of an INI text with positions.

use compact_str::CompactString;

/// A key and its value.
#[derive(Clone, Debug)]
pub(crate) struct Entry {
    pub(crate) key: CompactString,
    pub(crate) value: CompactString,
    pub(crate) line: usize,
}

/// A section with its entries in order.
#[derive(Clone, Debug, Default)]
pub(crate) struct Section {
    /// The header without brackets, its words separated by one space.
    pub(crate) header: CompactString,
    pub(crate) line: usize,
    pub(crate) entries: Vec<Entry>,
}

impl Section {
    /// The first word of the header: what the section declares.
    pub(crate) fn kind(&self) -> &str {
        self.header.split(' ').next().unwrap_or_default()
    }

    /// The words after the first.
    pub(crate) fn names(&self) -> Vec<&str> {
        self.header.split(' ').skip(1).collect()
    }

    /// The value of a key as it stands in the text.
    pub(crate) fn value(&self, key: &str) -> Option<&str> {
        let entry = self.entries.iter().find(|entry| entry.key == key)?;
        Some(&entry.value)
    }

    /// The line of a key, or of the header if the key is missing.
    pub(crate) fn line_of(&self, key: &str) -> usize {
        let entry = self.entries.iter().find(|entry| entry.key == key);
        entry.map_or(self.line, |entry| entry.line)
    }
}
