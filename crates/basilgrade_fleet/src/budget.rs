//! This daemon's part of the retry budget that all daemons share.
//!
//! Every daemon spends a ratio of its own requests and an equal part of the fixed allowance, so
//! the sum stays within the budget without any communication.

use std::collections::VecDeque;

use basilgrade_types::clock;
use basilgrade_types::id;
use indexmap::IndexMap;

/// Part of the budget that is used; the rest covers daemons that join before others have noticed.
const USED_SHARE: f64 = 0.8;

/// The figures of the shared budget.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Sends beyond the first that each request allows.
    pub ratio: f64,
    /// Sends beyond the first that are always allowed in a window, over all daemons.
    pub floor: f64,
    /// Length of the window.
    pub window: clock::Millis,
}

/// Requests and repeats of the last window, for each pool.
#[derive(Debug)]
pub struct Budget {
    config: Config,
    pools: IndexMap<id::PoolId, Window>,
}

#[derive(Debug, Default)]
struct Window {
    requests: VecDeque<clock::Millis>,
    retries: VecDeque<clock::Millis>,
}

impl Window {
    fn trim(&mut self, since: clock::Millis) {
        for times in [&mut self.requests, &mut self.retries] {
            while times.front().is_some_and(|at| *at < since) {
                times.pop_front();
            }
        }
    }
}

impl Budget {
    /// A budget with nothing spent.
    pub fn new(config: Config) -> Self {
        Self {
            config,
            pools: IndexMap::new(),
        }
    }

    /// Replaces the figures of the shared budget.
    pub fn set_config(&mut self, config: Config) {
        self.config = config;
    }

    fn window(&mut self, now: clock::Millis, pool: &id::PoolId) -> &mut Window {
        let since = now - self.config.window;
        let window = self.pools.entry(pool.clone()).or_default();
        window.trim(since);
        window
    }

    /// Records a request to `pool`.
    pub fn deposit(&mut self, now: clock::Millis, pool: &id::PoolId) {
        self.window(now, pool).requests.push_back(now);
    }

    /// Allows a repeat at `pool`, with `daemons` sharing the allowance, or returns `false`.
    #[must_use]
    pub fn try_withdraw(&mut self, now: clock::Millis, pool: &id::PoolId, daemons: usize) -> bool {
        let config = self.config;
        let window = self.window(now, pool);
        let own =
            config.ratio * window.requests.len() as f64 + config.floor / daemons.max(1) as f64;
        if window.retries.len() as f64 + 1.0 > own * USED_SHARE {
            return false;
        }
        window.retries.push_back(now);
        true
    }
}
