//! The upstreams that have registered themselves.

use std::mem;
use std::net;
use std::sync;

use basilgrade_types::id;
use indexmap::IndexMap;
use indexmap::IndexSet;

pub mod upstream;

/// Upstreams by id, with the evidence gathered about each.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    upstreams: IndexMap<id::UpstreamId, sync::Arc<upstream::Upstream>>,
    /// Upstreams whose entries are missing, but may come back.
    missing: IndexSet<id::UpstreamId>,
}

impl Directory {
    /// Records what an upstream said of itself.
    ///
    /// Evidence is kept unless it is another incarnation or address.
    pub fn put(&mut self, mut entry: upstream::Upstream) {
        self.missing.swap_remove(&entry.id);
        let known = self.upstreams.get(&entry.id);
        if let Some(known) = known.filter(|known| known.is_same_run(&entry)) {
            entry.stats = sync::Arc::clone(&known.stats);
        }
        self.upstreams
            .insert(entry.id.clone(), sync::Arc::new(entry));
    }

    /// Removes an upstream whose entry is gone.
    pub fn remove(&mut self, id: &id::UpstreamId) {
        self.missing.swap_remove(id);
        self.upstreams.swap_remove(id);
    }

    /// Marks an upstream as missing, instead of removing it.
    ///
    /// Entries lapse while the log is away and come back soon after it, so a missing entry is no
    /// sign of death until then.
    pub fn mark_missing(&mut self, id: &id::UpstreamId) {
        if self.upstreams.contains_key(id) {
            self.missing.insert(id.clone());
        }
    }

    /// Removes the upstreams that are missing, and returns them.
    pub fn expire(&mut self) -> IndexSet<id::UpstreamId> {
        let gone = mem::take(&mut self.missing);
        for id in &gone {
            self.upstreams.swap_remove(id);
        }
        gone
    }

    /// Whether entries are missing and wait for their removal.
    pub fn has_missing(&self) -> bool {
        !self.missing.is_empty()
    }

    /// All upstreams.
    pub fn iter(&self) -> impl Iterator<Item = &sync::Arc<upstream::Upstream>> {
        self.upstreams.values()
    }

    /// Ids of all upstreams.
    pub fn ids(&self) -> impl Iterator<Item = &id::UpstreamId> {
        self.upstreams.keys()
    }

    /// The failure domain of the upstream at `address`.
    pub fn domain(&self, address: net::SocketAddr) -> Option<&id::DomainId> {
        let mut entries = self.upstreams.values();
        let found = entries.find(|entry| entry.address == address)?;
        Some(&found.domain)
    }

    /// One upstream.
    pub fn get(&self, id: &id::UpstreamId) -> Option<&sync::Arc<upstream::Upstream>> {
        self.upstreams.get(id)
    }

    /// Upstreams of `pool` that accept new work.
    pub fn ready<'a>(
        &'a self,
        pool: &'a id::PoolId,
    ) -> impl Iterator<Item = &'a sync::Arc<upstream::Upstream>> {
        self.upstreams
            .values()
            .filter(move |entry| entry.pool == *pool && entry.state == upstream::State::Ready)
    }
}
