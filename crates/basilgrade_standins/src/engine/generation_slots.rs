//! Which generations run and which wait.

use std::cmp;
use std::collections;
use std::sync;

use tokio::sync::oneshot;

#[derive(Debug, Default)]
struct State {
    running: usize,
    waiting: collections::BTreeMap<(cmp::Reverse<u8>, u64), oneshot::Sender<Slot>>,
    count: u64,
}

/// A bounded number of running generations; the waiting one with the highest priority is next.
#[derive(Clone, Debug)]
pub(super) struct GenerationSlots {
    limit: usize,
    state: sync::Arc<sync::Mutex<State>>,
}

/// Permission to run; returned when dropped.
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

    /// Waits for a turn.
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
            state.count += 1;
            let place = (cmp::Reverse(priority), state.count);
            state.waiting.insert(place, sender);
            receiver
        };
        receiver.await.ok()
    }

    /// Running and waiting generations.
    pub(super) fn load(&self) -> (usize, usize) {
        let state = self.lock();
        let waiting = state.waiting.values().filter(|sender| !sender.is_closed());
        (state.running, waiting.count())
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
                match state.waiting.pop_first() {
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
            // When the waiting generation is gone by now, the returned slot is dropped in turn.
            let _ = sender.send(Slot {
                slots: self.slots.clone(),
            });
        }
    }
}
