//! KV cache of prompt prefixes and its change events.

use bytes::Bytes;
use indexmap::IndexMap;
use serde::Serialize;

/// Maximum number of change events that are kept for readers.
const EVENT_LIMIT: usize = 4096;

#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
enum Change {
    Evicted,
    Stored,
}

/// A change of the cache. A reader detects lost events by gaps in `seq`.
#[derive(Clone, Copy, Debug, Serialize)]
pub(super) struct Event {
    seq: u64,
    prefix: u64,
    change: Change,
}

/// A cache of a limited number of prefixes that evicts the least recently used one.
#[derive(Debug)]
pub(super) struct KvCache {
    capacity: usize,
    /// Drops every n-th event to simulate lost events; 0 to drop none.
    drop_every: u64,
    seq: u64,
    prefixes: IndexMap<u64, Bytes>,
    events: Vec<Event>,
}

impl KvCache {
    pub(super) fn new(capacity: usize, drop_every: u64) -> Self {
        Self {
            capacity: capacity.max(1),
            drop_every,
            seq: 0,
            prefixes: IndexMap::new(),
            events: Vec::new(),
        }
    }

    pub(super) fn get(&self, prefix: u64) -> Option<Bytes> {
        self.prefixes.get(&prefix).cloned()
    }

    /// Stores a prefix as the most recently used one. Returns whether the prefix was cached before.
    pub(super) fn put(&mut self, prefix: u64, kv: Bytes) -> bool {
        let known = self.prefixes.shift_remove(&prefix).is_some();
        self.prefixes.insert(prefix, kv);
        if known {
            return true;
        }
        self.report(prefix, Change::Stored);
        if self.prefixes.len() > self.capacity
            && let Some((evicted, _)) = self.prefixes.shift_remove_index(0)
        {
            self.report(evicted, Change::Evicted);
        }
        false
    }

    /// Returns the kept events with a sequence number of at least `from`.
    pub(super) fn events(&self, from: u64) -> Vec<Event> {
        let events = self.events.iter().filter(|event| event.seq >= from);
        events.copied().collect()
    }

    fn report(&mut self, prefix: u64, change: Change) {
        let seq = self.seq;
        self.seq += 1;
        if self.drop_every > 0 && self.seq.is_multiple_of(self.drop_every) {
            return;
        }
        if self.events.len() == EVENT_LIMIT {
            self.events.remove(0);
        }
        self.events.push(Event {
            seq,
            prefix,
            change,
        });
    }
}
