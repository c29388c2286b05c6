//! Guard that counts requests in progress.

use std::sync;
use std::sync::atomic;

use crate::core;

/// Counts one request as active while it exists. A streamed request holds its guard until the
/// stream ends.
pub struct ActiveRequest {
    core: sync::Arc<core::Core>,
}

impl ActiveRequest {
    /// Counts a request; `None` if the daemon already has its maximum number of requests in
    /// progress.
    pub fn start(core: &sync::Arc<core::Core>) -> Option<Self> {
        let previous = core.active_requests.fetch_add(1, atomic::Ordering::AcqRel);
        let active = Self {
            core: sync::Arc::clone(core),
        };
        (previous < core.components.limits.max_requests).then_some(active)
    }

    pub fn core(&self) -> &sync::Arc<core::Core> {
        &self.core
    }
}

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        self.core
            .active_requests
            .fetch_sub(1, atomic::Ordering::AcqRel);
    }
}
