//! This daemon's part of the retry budget that all daemons of the deployment share.
//!
//! Every daemon spends a ratio of its own requests and an equal part of the fixed allowance, so the
//! sum stays within the budget without communication between daemons.

use std::collections::VecDeque;

use basilgrade_types::clock;
use basilgrade_types::id;
use indexmap::IndexMap;

/// Share of the budget that is used; the rest covers daemons that have joined but are not yet
/// counted by the others.
const USABLE_SHARE: f64 = 0.8;

/// Parameters of the shared budget.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Retries allowed for each request.
    pub ratio: f64,
    /// Retries that are always allowed in a window, over all daemons together.
    pub floor: f64,
    /// Length of the sliding window.
    pub window: clock::Millis,
}

/// Requests and retries in the sliding window of each pool.
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
    /// Creates a budget with no retries spent.
    pub fn new(config: Config) -> Self {
        Self {
            config,
            pools: IndexMap::new(),
        }
    }

    /// Replaces the parameters of the shared budget.
    pub fn set_config(&mut self, config: Config) {
        self.config = config;
    }

    fn window(&mut self, now: clock::Millis, pool: &id::PoolId) -> &mut Window {
        let since = now - self.config.window;
        let window = self.pools.entry(pool.clone()).or_default();
        window.trim(since);
        window
    }

    /// Records a request to `pool`, which raises the budget for retries.
    pub fn deposit(&mut self, now: clock::Millis, pool: &id::PoolId) {
        self.window(now, pool).requests.push_back(now);
    }

    /// Whether a retry at `pool` is left in the budget.
    pub fn has_retry(&mut self, now: clock::Millis, pool: &id::PoolId, daemons: usize) -> bool {
        let config = self.config;
        let window = self.window(now, pool);
        let allowance =
            config.ratio * window.requests.len() as f64 + config.floor / daemons.max(1) as f64;
        window.retries.len() as f64 + 1.0 <= allowance * USABLE_SHARE
    }

    /// Takes one retry at `pool` from the budget and returns `true`, or returns `false` if the
    /// budget is spent.
    ///
    /// `daemons` is the number of daemons that share the fixed allowance.
    #[must_use]
    pub fn try_withdraw(&mut self, now: clock::Millis, pool: &id::PoolId, daemons: usize) -> bool {
        if !self.has_retry(now, pool, daemons) {
            return false;
        }
        self.window(now, pool).retries.push_back(now);
        true
    }
}
