//! Injection of faults into a running stand-in.

use std::collections;
use std::sync;

use crate::fault;

#[derive(Debug, Default)]
struct State {
    default_fault: fault::Fault,
    queue: collections::VecDeque<fault::Fault>,
}

/// Selects the fault of each call: the next queued fault, or the default fault if none is queued.
#[derive(Clone, Debug, Default)]
pub struct FaultSwitch {
    state: sync::Arc<sync::Mutex<State>>,
}

impl FaultSwitch {
    /// Sets the default fault of all further calls.
    ///
    /// To set [`fault::Fault::Dead`], use [`crate::server::Server::set_fault`], which waits until
    /// the port is closed.
    pub fn set(&self, fault: fault::Fault) {
        self.lock().default_fault = fault;
    }

    /// Queues a fault for a single call, behind the faults that are already queued.
    pub fn push(&self, fault: fault::Fault) {
        self.lock().queue.push_back(fault);
    }

    /// Removes all queued faults.
    pub fn clear(&self) {
        self.lock().queue.clear();
    }

    /// Returns the fault of calls for which no fault is queued.
    pub fn default_fault(&self) -> fault::Fault {
        self.lock().default_fault.clone()
    }

    /// Returns the fault for the next call and removes it from the queue.
    pub(crate) fn take(&self) -> fault::Fault {
        let mut state = self.lock();
        match state.queue.pop_front() {
            Some(fault) => fault,
            None => state.default_fault.clone(),
        }
    }

    fn lock(&self) -> sync::MutexGuard<'_, State> {
        self.state
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}
