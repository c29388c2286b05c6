//! Counting of requests in progress.

use std::sync;
use std::sync::atomic;

use crate::core;

/// Counts a request as active until it is dropped; a streamed one until its stream has ended.
pub struct ActiveRequest {
    core: sync::Arc<core::Core>,
}

impl ActiveRequest {
    /// Counts a request, unless the daemon works on as many as it may.
    pub fn start(core: &sync::Arc<core::Core>) -> Option<Self> {
        let previous = core.active_requests.fetch_add(1, atomic::Ordering::AcqRel);
        let active = Self {
            core: sync::Arc::clone(core),
        };
        (previous < core.components.limits.max_requests).then_some(active)
    }

    /// The daemon's shared state.
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
