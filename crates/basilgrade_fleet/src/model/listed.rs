//! Entry of a list of the configuration.

use compact_str::CompactString;

/// An entry with its place in the document.
#[derive(Clone, Debug, PartialEq)]
pub struct Listed<T> {
    /// List and index of the entry.
    pub place: CompactString,
    pub value: T,
}
