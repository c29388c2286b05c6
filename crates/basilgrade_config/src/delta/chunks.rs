//! Splits a configuration text at section headers.

/// Splits `text` before each section header.
///
/// Text before the first header is a chunk of its own. The concatenated chunks equal `text`.
pub(super) fn split(text: &str) -> Vec<&str> {
    let mut chunks = Vec::new();
    let mut start = 0;
    let mut position = 0;
    for line in text.split_inclusive('\n') {
        if line.trim_start().starts_with('[') && position > start {
            chunks.push(&text[start..position]);
            start = position;
        }
        position += line.len();
    }
    if start < text.len() {
        chunks.push(&text[start..]);
    }
    chunks
}
