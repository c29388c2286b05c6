//! Settings of the stand-in for an engine.

use basilgrade_types::clock;

/// Treatment of the fencing numbers of orders by an engine.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Fencing {
    /// The engine refuses an order whose number is below the highest number so far.
    #[default]
    Checked,
    /// The engine executes every order.
    Ignored,
}

/// Limits, delays and faults of the stand-in for an engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Options {
    /// Maximum number of concurrent generations; further ones are queued by priority.
    pub max_running: usize,
    /// Delay before each token.
    pub token_interval: clock::Millis,
    /// Age of the load that load reports contain.
    pub report_lag: clock::Millis,
    /// Maximum number of prefixes in the KV cache.
    pub cache_capacity: usize,
    /// Loses every n-th cache event; 0 to lose none.
    pub drop_every: u64,
    /// Whether orders with outdated fencing numbers are refused.
    pub fencing: Fencing,
    /// Time to load one model.
    pub load_time: clock::Millis,
    /// Models that are loaded when the engine starts.
    pub models: Vec<String>,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            max_running: 64,
            token_interval: clock::Millis::ZERO,
            report_lag: clock::Millis::ZERO,
            cache_capacity: 64,
            drop_every: 0,
            fencing: Fencing::Checked,
            load_time: clock::Millis::ZERO,
            models: Vec::new(),
        }
    }
}
