//! Records as entries of the log.

use bytes::Bytes;

/// A record as a line of JSON.
///
/// # Panics
///
/// Never for the records of this package, whose maps have text keys.
pub fn json_line<R: serde::Serialize>(record: &R) -> Bytes {
    let mut line = serde_json::to_vec(record).expect("records serialise to JSON");
    line.push(b'\n');
    Bytes::from(line)
}
