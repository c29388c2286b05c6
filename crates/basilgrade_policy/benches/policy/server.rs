//! A simulated upstream. Calls share a batch; further calls queue by priority and order of arrival.

use std::collections::VecDeque;

use basilgrade_policy::prefix::change;
use basilgrade_policy::priority;

use crate::cache;
use crate::deployment;

/// A call in the batch.
#[derive(Clone, Copy, Debug)]
struct Running {
    call: usize,
    /// Total work of the call, in milliseconds on an upstream without other calls.
    work: f64,
    /// Remaining work of the call, in milliseconds on an upstream without other calls.
    left: f64,
}

/// A call that is queued for the batch.
#[derive(Clone, Debug)]
pub(crate) struct Waiting {
    pub(crate) call: usize,
    pub(crate) hashes: Vec<u64>,
    pub(crate) prompt: u32,
    pub(crate) output: f64,
    /// Factor on the time without tokens.
    pub(crate) time_factor: f64,
    pub(crate) priority: priority::Priority,
}

/// Load of an upstream as it is reported to daemons.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Load {
    pub(crate) running: u32,
    pub(crate) queued: u32,
}

/// A simulated upstream.
#[derive(Debug)]
pub(crate) struct Server {
    pub(crate) pool: usize,
    pub(crate) region: usize,
    pub(crate) capacity: u32,
    pub(crate) up: bool,
    /// Whether every call fails immediately.
    pub(crate) failing: bool,
    /// Speed relative to a healthy upstream.
    pub(crate) speed: f64,
    pub(crate) cache: cache::Cache,
    /// Incremented whenever the next finish may have changed, so that outdated finish events are
    /// ignored.
    pub(crate) version: u32,
    pub(crate) changes: Vec<change::CacheChange>,
    /// Prompt tokens of all started calls, and the cached tokens among them.
    pub(crate) tokens: (f64, f64),
    shape: deployment::Pool,
    running: Vec<Running>,
    queue: VecDeque<Waiting>,
    advanced_at: f64,
}

impl Server {
    pub(crate) fn new(pool: usize, region: usize, shape: &deployment::Pool) -> Self {
        Self {
            pool,
            region,
            capacity: shape.capacity,
            up: true,
            failing: false,
            speed: 1.0,
            cache: cache::Cache::new(shape.cache),
            version: 0,
            changes: Vec::new(),
            tokens: (0.0, 0.0),
            shape: shape.clone(),
            running: Vec::new(),
            queue: VecDeque::new(),
            advanced_at: 0.0,
        }
    }

    pub(crate) fn load(&self) -> Load {
        Load {
            running: self.running.len() as u32,
            queued: self.queue.len() as u32,
        }
    }

    /// Work done on each running call per millisecond.
    fn rate(&self) -> f64 {
        let batch_fill = (self.running.len() as f64 - 1.0).max(0.0) / f64::from(self.capacity);
        self.speed / (1.0 + self.shape.batch_slowdown * batch_fill)
    }

    /// Updates the remaining work of the running calls to the instant `now`.
    pub(crate) fn advance(&mut self, now: f64) {
        let done = (now - self.advanced_at) * self.rate();
        for running in &mut self.running {
            running.left -= done;
        }
        self.advanced_at = now;
    }

    /// Queues a call. `advance` must have been called for the same instant.
    pub(crate) fn push(&mut self, waiting: Waiting) {
        let behind = |other: &Waiting| other.priority <= waiting.priority;
        let position = self.queue.partition_point(behind);
        self.queue.insert(position, waiting);
        self.start();
    }

    fn start(&mut self) {
        while self.running.len() < self.capacity as usize {
            let Some(next) = self.queue.pop_front() else {
                return;
            };
            let cached = f64::from(self.cache.cached(&next.hashes));
            let prompt = f64::from(next.prompt);
            self.tokens.0 += prompt;
            self.tokens.1 += cached;
            self.cache.touch(&next.hashes, &mut self.changes);
            let work = self.shape.service * next.time_factor
                + self.shape.prefill * (prompt - cached).max(0.0)
                + self.shape.decode * next.output;
            self.running.push(Running {
                call: next.call,
                work: work.max(0.1),
                left: work.max(0.1),
            });
        }
    }

    /// Instant at which the next call finishes if nothing changes before.
    pub(crate) fn next_finish(&self, now: f64) -> Option<f64> {
        let least = self
            .running
            .iter()
            .map(|running| running.left)
            .min_by(f64::total_cmp)?;
        Some(now + (least / self.rate()).max(0.0))
    }

    /// Moves the finished calls to `done`.
    pub(crate) fn finish(&mut self, done: &mut Vec<usize>) {
        self.running.retain(|running| {
            let ended = running.left <= 1e-6;
            if ended {
                done.push(running.call);
            }
            !ended
        });
        self.start();
    }

    /// Share of a call's work that is done; 0 while the call is queued.
    pub(crate) fn done(&self, call: usize) -> f64 {
        self.running
            .iter()
            .find(|running| running.call == call)
            .map_or(0.0, |running| 1.0 - running.left / running.work)
    }

    /// Removes a cancelled call.
    pub(crate) fn cancel(&mut self, call: usize) {
        self.running.retain(|running| running.call != call);
        self.queue.retain(|waiting| waiting.call != call);
        self.start();
    }

    /// Stops the upstream and returns the calls that are lost.
    pub(crate) fn fail(&mut self) -> Vec<usize> {
        self.up = false;
        self.cache.clear();
        let running = self.running.drain(..).map(|running| running.call);
        let lost = running
            .chain(self.queue.drain(..).map(|waiting| waiting.call))
            .collect();
        self.version += 1;
        lost
    }
}
