//! CPU time of this process.

use std::fs;

/// Unit of CPU time in `/proc/self/stat`, in ticks per second; fixed on Linux.
const TICKS_PER_SECOND: f64 = 100.0;

/// User and system time so far, in seconds.
pub(crate) fn seconds() -> f64 {
    let text = fs::read_to_string("/proc/self/stat").unwrap_or_default();
    // Start after the command name, which is enclosed in parentheses and may contain spaces.
    let rest = text.rsplit_once(") ").map_or("", |(_, rest)| rest);
    let fields: Vec<f64> = rest
        .split(' ')
        .map(|field| field.parse().unwrap_or_default())
        .collect();
    let sum = fields.get(11).unwrap_or(&0.0) + fields.get(12).unwrap_or(&0.0);
    sum / TICKS_PER_SECOND
}
