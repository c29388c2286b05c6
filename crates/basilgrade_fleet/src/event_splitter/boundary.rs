//! Search for the blank line that ends an event.

/// The length of the first event in `bytes`, with the blank line at its end.
pub(super) fn find_end(bytes: &[u8]) -> Option<usize> {
    let mut line = 0;
    for (place, byte) in bytes.iter().enumerate() {
        if *byte != b'\n' {
            continue;
        }
        let content = &bytes[line..place];
        if content.is_empty() || content == b"\r" {
            return Some(place + 1);
        }
        line = place + 1;
    }
    None
}
