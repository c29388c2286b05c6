//! Search for the blank line that ends a server-sent event.

/// Length of the first event in `bytes`, including the blank line that ends the event.
pub(super) fn find_end(bytes: &[u8]) -> Option<usize> {
    let mut line_start = 0;
    for (index, byte) in bytes.iter().enumerate() {
        if *byte != b'\n' {
            continue;
        }
        let content = &bytes[line_start..index];
        if content.is_empty() || content == b"\r" {
            return Some(index + 1);
        }
        line_start = index + 1;
    }
    None
}
