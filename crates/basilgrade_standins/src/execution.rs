//! Records of what a stand-in executed.

use std::sync;

use basilgrade_types::clock;
use basilgrade_types::clock::Clock;

use crate::http_request;

/// One execution of a call. Header values are kept as text, as they may be missing or invalid.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Execution {
    /// Request id, or empty.
    pub request: String,
    /// Stage, or empty.
    pub stage: String,
    /// Attempt, or empty.
    pub attempt: String,
    /// Request key, if there was one.
    pub key: Option<String>,
    /// Path and query.
    pub path: String,
    /// When it was executed.
    pub at: clock::Millis,
}

/// All executions of a stand-in in order.
#[derive(Clone, Debug, Default)]
pub struct Executions {
    list: sync::Arc<sync::Mutex<Vec<Execution>>>,
    clock: clock::SystemClock,
}

impl Executions {
    /// A copy of the record.
    pub fn all(&self) -> Vec<Execution> {
        self.lock().clone()
    }

    /// How often calls of this request were executed, over all stages and attempts.
    pub fn count_by_request(&self, request: &str) -> usize {
        self.lock()
            .iter()
            .filter(|execution| execution.request == request)
            .count()
    }

    /// How often calls with this request key were executed.
    pub fn count_by_key(&self, key: &str) -> usize {
        self.lock()
            .iter()
            .filter(|execution| execution.key.as_deref() == Some(key))
            .count()
    }

    /// Forgets all executions, so that a long benchmark does not fill the memory with them.
    pub fn clear(&self) {
        self.lock().clear();
    }

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
