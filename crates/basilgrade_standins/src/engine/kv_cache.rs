//! Cached prefixes and the events about them.

use bytes::Bytes;
use indexmap::IndexMap;
use serde::Serialize;

/// Events kept for readers.
const EVENT_LIMIT: usize = 4096;

#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
enum Change {
    Evicted,
    Stored,
}

#[derive(Clone, Copy, Debug, Serialize)]
pub(super) struct Event {
    seq: u64,
    prefix: u64,
    change: Change,
}

/// A bounded cache of prefixes; the one not used for the longest time is evicted.
#[derive(Debug)]
pub(super) struct KvCache {
    capacity: usize,
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

    /// Stores a prefix or marks it as used. Returns whether it was there.
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
