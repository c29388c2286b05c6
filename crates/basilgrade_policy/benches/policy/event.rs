//! The queue of events in virtual time.

use std::cmp;
use std::collections::BinaryHeap;

/// What happens at an instant.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Event {
    /// Request `0` arrives.
    Arrive(usize),
    /// Call `0` reaches its upstream.
    Deliver(usize),
    /// The next call of upstream `0` finishes, if its version is still `1`.
    Finish(usize, u32),
    /// The answer of call `0` reaches its daemon.
    Reply(usize),
    /// The failure of call `0` reaches its daemon.
    Fail(usize),
    /// The current stage of request `0` is sent again.
    Retry(usize),
    /// The answer to stage `1` of request `0` is late.
    Hedge(usize, usize),
    /// Daemon `0` compares the upstreams of each pool.
    Evaluate(usize),
    /// Request `0` reaches its deadline.
    Expire(usize),
    /// Loads are recorded.
    Sample,
    /// Daemon `0` reads reports and cache events.
    Poll(usize),
    /// A fault begins.
    Fault,
    /// A fault ends.
    Repair,
    /// Daemon `0` is replaced.
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
    /// Reversed, because the heap yields the greatest entry first.
    fn cmp(&self, other: &Self) -> cmp::Ordering {
        other
            .at
            .total_cmp(&self.at)
            .then(other.order.cmp(&self.order))
    }
}

/// Events by instant; equal instants in the order of insertion.
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
