//! A simulated upstream: calls share a batch, the rest wait by priority and order of arrival.

use std::collections::VecDeque;

use basilgrade_policy::prefix::change;
use basilgrade_policy::priority;

use crate::cache;
use crate::deployment;

/// A call in the batch.
#[derive(Clone, Copy, Debug)]
struct Running {
    call: usize,
    /// Work in all and work left, in milliseconds of an upstream without other calls.
    work: f64,
    left: f64,
}

/// A call that waits for the batch.
#[derive(Clone, Debug)]
pub(crate) struct Waiting {
    pub(crate) call: usize,
    pub(crate) chain: Vec<u64>,
    pub(crate) prompt: u32,
    pub(crate) output: f64,
    /// Factor on the time without tokens.
    pub(crate) noise: f64,
    pub(crate) priority: priority::Priority,
}

/// Load as reported.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Load {
    pub(crate) running: u32,
    pub(crate) queued: u32,
}

/// One upstream.
#[derive(Debug)]
pub(crate) struct Server {
    pub(crate) pool: usize,
    pub(crate) region: usize,
    pub(crate) capacity: u32,
    pub(crate) up: bool,
    /// Whether every call fails at once.
    pub(crate) failing: bool,
    /// 1 when healthy.
    pub(crate) speed: f64,
    pub(crate) cache: cache::Cache,
    /// Incremented when the next finish changes, so that an older finish event is ignored.
    pub(crate) version: u32,
    pub(crate) changes: Vec<change::CacheChange>,
    /// Prompt tokens started, and those of them that were cached.
    pub(crate) tokens: (f64, f64),
    shape: deployment::Pool,
    running: Vec<Running>,
    queue: VecDeque<Waiting>,
    touched: f64,
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
            touched: 0.0,
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
        let fill = (self.running.len() as f64 - 1.0).max(0.0) / f64::from(self.capacity);
        self.speed / (1.0 + self.shape.crowd * fill)
    }

    /// Brings the work left up to `now`.
    pub(crate) fn advance(&mut self, now: f64) {
        let done = (now - self.touched) * self.rate();
        for running in &mut self.running {
            running.left -= done;
        }
        self.touched = now;
    }

    /// Adds a call; `advance` must have been called for the same instant.
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
            let cached = f64::from(self.cache.cached(&next.chain));
            let prompt = f64::from(next.prompt);
            self.tokens.0 += prompt;
            self.tokens.1 += cached;
            self.cache.touch(&next.chain, &mut self.changes);
            let work = self.shape.service * next.noise
                + self.shape.prefill * (prompt - cached).max(0.0)
                + self.shape.decode * next.output;
            self.running.push(Running {
                call: next.call,
                work: work.max(0.1),
                left: work.max(0.1),
            });
        }
    }

    /// When the next call finishes, if nothing changes before.
    pub(crate) fn next_finish(&self, now: f64) -> Option<f64> {
        let least = self
            .running
            .iter()
            .map(|running| running.left)
            .min_by(f64::total_cmp)?;
        Some(now + (least / self.rate()).max(0.0))
    }

    /// Takes the calls that are done.
    pub(crate) fn finish(&mut self, done: &mut Vec<usize>) {
        self.running.retain(|running| {
            let over = running.left <= 1e-6;
            if over {
                done.push(running.call);
            }
            !over
        });
        self.start();
    }

    /// Share of a call's work that is done; 0 while it waits.
    pub(crate) fn done(&self, call: usize) -> f64 {
        self.running
            .iter()
            .find(|running| running.call == call)
            .map_or(0.0, |running| 1.0 - running.left / running.work)
    }

    /// Removes a call whose caller has gone.
    pub(crate) fn cancel(&mut self, call: usize) {
        self.running.retain(|running| running.call != call);
        self.queue.retain(|waiting| waiting.call != call);
        self.start();
    }

    /// Stops at once and returns the calls that are lost.
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
