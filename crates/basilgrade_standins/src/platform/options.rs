//! Settings of the platform.

use basilgrade_types::clock;

/// Settings of the platform.
#[derive(Clone, Debug, PartialEq)]
pub struct Options {
    /// Records retained in each stream.
    pub retention: usize,
    /// Appends a second over all streams; 0 for no limit.
    pub append_rate: u64,
    /// How far the VM list lags behind.
    pub list_lag: clock::Millis,
    /// Delivery rate of the weight store in bytes a second.
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
