//! Record of the calls that a stand-in executed.

use std::sync;

use basilgrade_types::clock;
use basilgrade_types::clock::Clock;

use crate::http_request;

/// One execution of a call.
///
/// Header values are stored as text, as they may be invalid; a missing header gives an empty text.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Execution {
    /// Request id; empty if missing.
    pub request: String,
    /// Stage; empty if missing.
    pub stage: String,
    /// Attempt; empty if missing.
    pub attempt: String,
    /// Value of `idempotency-key`; `None` if missing.
    pub key: Option<String>,
    /// Path and query of the call.
    pub path: String,
    /// Time of the execution.
    pub at: clock::Millis,
}

/// All executions of a stand-in in chronological order, shared between clones.
#[derive(Clone, Debug, Default)]
pub struct Executions {
    list: sync::Arc<sync::Mutex<Vec<Execution>>>,
    clock: clock::SystemClock,
}

impl Executions {
    /// Returns a copy of all executions.
    pub fn all(&self) -> Vec<Execution> {
        self.lock().clone()
    }

    /// Counts the executions of a request over all stages and attempts.
    pub fn count_by_request(&self, request: &str) -> usize {
        self.lock()
            .iter()
            .filter(|execution| execution.request == request)
            .count()
    }

    /// Counts the executions of calls with an idempotency key.
    pub fn count_by_key(&self, key: &str) -> usize {
        self.lock()
            .iter()
            .filter(|execution| execution.key.as_deref() == Some(key))
            .count()
    }

    /// Removes all executions, which would otherwise use up memory in a long benchmark.
    pub fn clear(&self) {
        self.lock().clear();
    }

    /// Adds an execution of the call that `request` carries.
    pub(crate) fn add(&self, request: &http_request::HttpRequest) {
        let text = |name| request.header(name).unwrap_or_default().to_owned();
        self.lock().push(Execution {
            request: text("basilgrade-request-id"),
            stage: text("basilgrade-stage"),
            attempt: text("basilgrade-attempt"),
            key: request.header("idempotency-key").map(str::to_owned),
            path: request.target.clone(),
            at: self.clock.now(),
        });
    }

    fn lock(&self) -> sync::MutexGuard<'_, Vec<Execution>> {
        self.list
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}
