//! Processor time of this process.

use std::fs;

/// Clock ticks per second that the kernel reports processor time in; fixed on Linux.
const TICKS: f64 = 100.0;

/// User and system time so far, in seconds.
pub(crate) fn seconds() -> f64 {
    let text = fs::read_to_string("/proc/self/stat").unwrap_or_default();
    // Fields are counted after the command name, which may contain spaces.
    let rest = text.rsplit_once(") ").map_or("", |(_, rest)| rest);
    let fields: Vec<f64> = rest
        .split(' ')
        .map(|field| field.parse().unwrap_or_default())
        .collect();
    let sum = fields.get(11).unwrap_or(&0.0) + fields.get(12).unwrap_or(&0.0);
    sum / TICKS
}
