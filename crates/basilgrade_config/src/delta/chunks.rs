//! Splits a text at section headers.

/// The parts of `text`: what stands before the first header, if anything, then one part per
/// section. Joined together they are `text`.
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
