//! Encoding of records as bodies of log entries.

use bytes::Bytes;

/// Encodes `record` as one line of JSON, including the final line feed.
///
/// # Panics
///
/// If `record` cannot be represented in JSON. This cannot happen for the records of this package:
/// JSON requires string keys in maps, and all their maps have them.
pub fn json_line<R: serde::Serialize>(record: &R) -> Bytes {
    let mut line =
        serde_json::to_vec(record).expect("expected the record to be serialisable to JSON");
    line.push(b'\n');
    Bytes::from(line)
}
