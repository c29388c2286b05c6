//! Calls that wait for an upstream, the earliest deadline first.

use std::collections::BTreeMap;

use basilgrade_types::clock;

/// A call that waits.
#[derive(Clone, Copy, Debug)]
struct Waiting<T> {
    item: T,
    /// Time that the call still needs once it is sent.
    need: clock::Millis,
}

/// What [`DeadlineQueue::pop`] found.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Popped<T> {
    /// The call is to be sent now.
    Ready(T),
    /// The call can no longer meet its deadline; it has not run.
    Shed(T),
}

/// A bounded queue in the order of deadlines.
///
/// Calls that have expired or need more time than is left are shed, because an answer after the
/// deadline costs an upstream's time and is worth nothing.
#[derive(Debug)]
pub struct DeadlineQueue<T> {
    calls: BTreeMap<(clock::Millis, u64), Waiting<T>>,
    order: u64,
    bound: usize,
}

impl<T> DeadlineQueue<T> {
    /// A queue for at most `bound` calls.
    pub const fn new(bound: usize) -> Self {
        Self {
            calls: BTreeMap::new(),
            order: 0,
            bound,
        }
    }

    /// Number of calls that wait.
    pub fn len(&self) -> usize {
        self.calls.len()
    }

    /// Whether no call waits.
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }

    /// Adds a call that needs `need` once it is sent.
    ///
    /// Returns the call that has to be refused instead when the queue is full: the one with the
    /// latest deadline, which may be the new one.
    pub fn push(&mut self, item: T, deadline: clock::Millis, need: clock::Millis) -> Option<T> {
        self.order += 1;
        self.calls
            .insert((deadline, self.order), Waiting { item, need });
        if self.calls.len() <= self.bound {
            return None;
        }
        self.calls.pop_last().map(|(_, waiting)| waiting.item)
    }

    /// Takes the call with the earliest deadline.
    pub fn pop(&mut self, now: clock::Millis) -> Option<Popped<T>> {
        let ((deadline, _), waiting) = self.calls.pop_first()?;
        if now.plus(waiting.need) > deadline {
            return Some(Popped::Shed(waiting.item));
        }
        Some(Popped::Ready(waiting.item))
    }
}
