//! Settings of the stand-in for the platform.

use basilgrade_types::clock;

/// Limits, lag and delivery rate of the stand-in for the platform.
#[derive(Clone, Debug, PartialEq)]
pub struct Options {
    /// Maximum number of records retained per stream.
    pub retention: usize,
    /// Maximum number of appends per second over all streams; 0 for no limit.
    pub append_rate: u64,
    /// Delay after which a new VM list is served.
    pub list_lag: clock::Millis,
    /// Delivery rate of the weight store in bytes per second.
    pub store_rate: f64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            retention: 100_000,
            append_rate: 0,
            list_lag: clock::Millis::ZERO,
            store_rate: 200e6,
        }
    }
}
