//! Event queue of the simulation, ordered by virtual time.

use std::cmp;
use std::collections::BinaryHeap;

/// An event of the simulation. The numbers are positions of the affected items.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Event {
    /// Request `0` arrives.
    Arrive(usize),
    /// Call `0` reaches its upstream.
    Deliver(usize),
    /// The next call of upstream `0` finishes, unless the upstream's version differs from `1`.
    Finish(usize, u32),
    /// The response to call `0` reaches its daemon.
    Reply(usize),
    /// The failure of call `0` reaches its daemon.
    Fail(usize),
    /// The current stage of request `0` is retried.
    Retry(usize),
    /// Stage `1` of request `0` has exceeded the time after which a hedge is considered.
    Hedge(usize, usize),
    /// Daemon `0` exchanges customer demand and evaluates the upstreams of each pool for outliers.
    Evaluate(usize),
    /// Request `0` reaches its deadline.
    Expire(usize),
    /// The loads of all upstreams are recorded.
    Sample,
    /// Daemon `0` reads load reports and cache events.
    Poll(usize),
    /// The fault of the scenario begins.
    Fault,
    /// The fault of the scenario ends.
    Repair,
    /// Daemon `0` is restarted without its state.
    Restart(usize),
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    at: f64,
    order: u64,
    event: Event,
}

impl PartialEq for Entry {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == cmp::Ordering::Equal
    }
}

impl Eq for Entry {}

impl PartialOrd for Entry {
    fn partial_cmp(&self, other: &Self) -> Option<cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Entry {
    /// Reverses the order, because the heap yields the greatest entry first.
    fn cmp(&self, other: &Self) -> cmp::Ordering {
        other
            .at
            .total_cmp(&self.at)
            .then(other.order.cmp(&self.order))
    }
}

/// Queue of events by instant. Events of the same instant keep the order of insertion.
#[derive(Debug, Default)]
pub(crate) struct Events {
    heap: BinaryHeap<Entry>,
    order: u64,
}

impl Events {
    pub(crate) fn push(&mut self, at: f64, event: Event) {
        self.order += 1;
        self.heap.push(Entry {
            at,
            order: self.order,
            event,
        });
    }

    pub(crate) fn pop(&mut self) -> Option<(f64, Event)> {
        self.heap.pop().map(|entry| (entry.at, entry.event))
    }
}
