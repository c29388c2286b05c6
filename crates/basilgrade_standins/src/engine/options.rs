//! Settings of an engine.

use basilgrade_types::clock;

/// What an engine does with the fencing number of an order.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Fencing {
    /// Refuses an order with a number below the highest so far.
    #[default]
    Checked,
    /// Follows every order.
    Ignored,
}

/// Settings of an engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Options {
    /// Generations that run at the same time; the others wait in order of priority.
    pub max_running: usize,
    /// Time before each token.
    pub token_interval: clock::Millis,
    /// How far load reports lag behind.
    pub report_lag: clock::Millis,
    /// Prefixes that fit in the cache.
    pub cache_capacity: usize,
    /// Every so many cache events one is lost; 0 for none.
    pub drop_every: u64,
    /// Treatment of fencing numbers.
    pub fencing: Fencing,
    /// Time to load one model.
    pub load_time: clock::Millis,
    /// Models loaded at the start.
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
