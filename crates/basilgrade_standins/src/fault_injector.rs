//! Switching of faults while a stand-in runs.

use std::collections;
use std::sync;

use crate::fault;

#[derive(Debug, Default)]
struct State {
    default_fault: fault::Fault,
    next: collections::VecDeque<fault::Fault>,
}

/// The faults of a stand-in: one that stands until changed, and a queue with one for each call.
#[derive(Clone, Debug, Default)]
pub struct FaultInjector {
    state: sync::Arc<sync::Mutex<State>>,
}

impl FaultInjector {
    /// Applies a fault to all calls from now on. For [`fault::Fault::Dead`] use
    /// [`crate::server::Server::set`], which waits until the port is closed.
    pub fn set(&self, fault: fault::Fault) {
        self.lock().default_fault = fault;
    }

    /// Applies a fault to the next call that has none queued yet.
    pub fn push(&self, fault: fault::Fault) {
        self.lock().next.push_back(fault);
    }

    /// Removes the queued faults.
    pub fn clear(&self) {
        self.lock().next.clear();
    }

    /// The fault that applies while none is queued.
    pub fn default_fault(&self) -> fault::Fault {
        self.lock().default_fault.clone()
    }

    /// Takes the fault for one call.
    pub(crate) fn take(&self) -> fault::Fault {
        let mut state = self.lock();
        match state.next.pop_front() {
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
