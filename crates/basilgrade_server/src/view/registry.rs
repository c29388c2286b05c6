//! Observed state of all upstreams, which outlives changes of the configuration.

use std::sync;

use basilgrade_types::id;
use indexmap::IndexMap;

use crate::view::stats;

/// Holds one shared [`stats::Stats`] for each upstream.
#[derive(Debug, Default)]
pub struct Registry {
    by_id: sync::Mutex<IndexMap<id::UpstreamId, sync::Arc<stats::Stats>>>,
}

impl Registry {
    /// The state of `upstream`, created on first use.
    pub fn stats(&self, upstream: &id::UpstreamId) -> sync::Arc<stats::Stats> {
        let mut by_id = self
            .by_id
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner);
        by_id.entry(upstream.clone()).or_default().clone()
    }

    /// Removes upstreams that are no longer declared.
    pub fn retain(&self, declared: impl Fn(&id::UpstreamId) -> bool) {
        let mut by_id = self
            .by_id
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner);
        by_id.retain(|upstream, _| declared(upstream));
    }
}
