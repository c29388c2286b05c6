//! Limits the number of concurrent generations and orders the queued ones by priority.

use std::cmp;
use std::collections;
use std::sync;

use tokio::sync::oneshot;

#[derive(Debug, Default)]
struct State {
    running: usize,
    queued: collections::BTreeMap<(cmp::Reverse<u8>, u64), oneshot::Sender<Slot>>,
    /// Number of generations queued so far, to order those of equal priority by arrival.
    arrivals: u64,
}

/// A limited number of slots for generations. A free slot goes to the queued generation with the
/// highest priority, among equal priorities to the first one.
#[derive(Clone, Debug)]
pub(super) struct GenerationSlots {
    limit: usize,
    state: sync::Arc<sync::Mutex<State>>,
}

/// A slot in which a generation may run; released when dropped.
#[derive(Debug)]
pub(super) struct Slot {
    slots: GenerationSlots,
}

impl GenerationSlots {
    pub(super) fn new(limit: usize) -> Self {
        Self {
            limit: limit.max(1),
            state: sync::Arc::default(),
        }
    }

    /// Waits for a free slot. The generation with the highest `priority` gets the next free slot.
    pub(super) async fn acquire(&self, priority: u8) -> Option<Slot> {
        let receiver = {
            let mut state = self.lock();
            if state.running < self.limit {
                state.running += 1;
                return Some(Slot {
                    slots: self.clone(),
                });
            }
            let (sender, receiver) = oneshot::channel();
            state.arrivals += 1;
            let place = (cmp::Reverse(priority), state.arrivals);
            state.queued.insert(place, sender);
            receiver
        };
        receiver.await.ok()
    }

    /// Returns the numbers of running and of queued generations.
    pub(super) fn load(&self) -> (usize, usize) {
        let state = self.lock();
        let queued = state.queued.values().filter(|sender| !sender.is_closed());
        (state.running, queued.count())
    }

    fn lock(&self) -> sync::MutexGuard<'_, State> {
        self.state
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let next = {
            let mut state = self.slots.lock();
            loop {
                match state.queued.pop_first() {
                    Some((_, sender)) if sender.is_closed() => {}
                    Some((_, sender)) => break Some(sender),
                    None => {
                        state.running -= 1;
                        break None;
                    }
                }
            }
        };
        if let Some(sender) = next {
            // If the queued generation was dropped in the meantime, `send` returns the slot, whose
            // drop hands it to the next generation.
            let _ = sender.send(Slot {
                slots: self.slots.clone(),
            });
        }
    }
}
