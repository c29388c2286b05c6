//! Directory of the upstreams that have registered themselves.

use std::mem;
use std::net;
use std::sync;

use basilgrade_types::id;
use indexmap::IndexMap;
use indexmap::IndexSet;

pub mod latest;
pub mod upstream;

/// Maximum number of removed upstreams that are remembered.
const MAX_REMOVED: usize = 1024;

/// Upstreams by id, with the statistics that this daemon keeps about each.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    upstreams: IndexMap<id::UpstreamId, sync::Arc<upstream::Upstream>>,
    /// Upstreams whose entries are missing from the log of registrations but may return.
    missing: IndexSet<id::UpstreamId>,
    /// Failure domains whose upstreams get no new work.
    evacuated: IndexSet<id::DomainId>,
    /// Upstreams that were removed, the latest last; their runs may register again.
    removed: IndexMap<id::UpstreamId, sync::Arc<upstream::Upstream>>,
}

impl Directory {
    /// Adds or replaces the entry that an upstream has registered.
    ///
    /// Its statistics are kept if the new entry describes the same run of the upstream, also if that
    /// run was removed.
    pub fn put(&mut self, mut entry: upstream::Upstream) {
        self.missing.swap_remove(&entry.id);
        let removed = self.removed.shift_remove(&entry.id);
        let known = self.upstreams.get(&entry.id).or(removed.as_ref());
        if let Some(known) = known.filter(|known| known.is_same_run(&entry)) {
            entry.stats = sync::Arc::clone(&known.stats);
        }
        self.upstreams
            .insert(entry.id.clone(), sync::Arc::new(entry));
    }

    /// Removes an upstream whose entry was deleted from the log.
    pub fn remove(&mut self, id: &id::UpstreamId) {
        self.missing.swap_remove(id);
        if let Some(entry) = self.upstreams.swap_remove(id) {
            self.removed.insert(id.clone(), entry);
        }
        while self.removed.len() > MAX_REMOVED {
            self.removed.shift_remove_index(0);
        }
    }

    /// Marks an upstream as missing instead of removing it.
    ///
    /// Entries lapse while the log is unavailable and return soon after it does, so until then a
    /// missing entry does not show that the upstream has stopped.
    pub fn mark_missing(&mut self, id: &id::UpstreamId) {
        if self.upstreams.contains_key(id) {
            self.missing.insert(id.clone());
        }
    }

    /// Removes the upstreams that are marked as missing, and returns their ids.
    pub fn expire(&mut self) -> IndexSet<id::UpstreamId> {
        let expired = mem::take(&mut self.missing);
        for id in &expired {
            self.remove(id);
        }
        expired
    }

    /// Whether any upstream is marked as missing.
    pub fn has_missing(&self) -> bool {
        !self.missing.is_empty()
    }

    pub fn iter(&self) -> impl Iterator<Item = &sync::Arc<upstream::Upstream>> {
        self.upstreams.values()
    }

    pub fn ids(&self) -> impl Iterator<Item = &id::UpstreamId> {
        self.upstreams.keys()
    }

    /// The upstream at `address`.
    pub fn at(&self, address: net::SocketAddr) -> Option<&sync::Arc<upstream::Upstream>> {
        let mut entries = self.upstreams.values();
        entries.find(|entry| entry.address == address)
    }

    /// The failure domain of the upstream at `address`.
    pub fn domain(&self, address: net::SocketAddr) -> Option<&id::DomainId> {
        self.at(address).map(|found| &found.domain)
    }

    pub fn get(&self, id: &id::UpstreamId) -> Option<&sync::Arc<upstream::Upstream>> {
        self.upstreams.get(id)
    }

    /// Replaces the failure domains whose upstreams get no new work; `true` if that is a change.
    pub fn set_evacuated(&mut self, domains: IndexSet<id::DomainId>) -> bool {
        let has_changed = self.evacuated != domains;
        self.evacuated = domains;
        has_changed
    }

    /// Failure domains whose upstreams get no new work.
    pub fn evacuated(&self) -> &IndexSet<id::DomainId> {
        &self.evacuated
    }

    /// Whether the upstream `entry` is in a failure domain that gets no new work.
    pub fn is_evacuated(&self, entry: &upstream::Upstream) -> bool {
        self.evacuated.contains(&entry.domain)
    }

    /// Upstreams of `pool` that are in service and whose failure domains are not evacuated.
    pub fn ready<'a>(
        &'a self,
        pool: &'a id::PoolId,
    ) -> impl Iterator<Item = &'a sync::Arc<upstream::Upstream>> {
        self.upstreams.values().filter(move |entry| {
            entry.pool == *pool && entry.is_in_service() && !self.is_evacuated(entry)
        })
    }
}
