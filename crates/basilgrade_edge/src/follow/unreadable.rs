//! Records that cannot be decoded, remembered so that each is counted and logged once.

use std::hash;
use std::hash::Hash as _;
use std::hash::Hasher as _;

use basilgrade_adapter::store;
use compact_str::CompactString;
use indexmap::IndexMap;

/// What is known of an unreadable record.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Novelty {
    /// The key has had this value before.
    Known,
    /// The key had another unreadable value before.
    Changed,
    /// The key had no unreadable value before.
    New,
}

/// Keys whose newest value is unreadable, each with the hash of the value.
#[derive(Debug, Default)]
pub struct UnreadableRecords {
    hashes: IndexMap<(store::Topic, CompactString), u64>,
}

impl UnreadableRecords {
    /// Records that `value` of `key` is unreadable.
    pub fn insert(&mut self, topic: store::Topic, key: &str, value: &[u8]) -> Novelty {
        let mut hasher = hash::DefaultHasher::new();
        value.hash(&mut hasher);
        let hash = hasher.finish();
        match self.hashes.insert((topic, CompactString::new(key)), hash) {
            Some(known) if known == hash => Novelty::Known,
            Some(_) => Novelty::Changed,
            None => Novelty::New,
        }
    }

    /// Forgets `key`, whose value has become readable or was removed.
    pub fn remove(&mut self, topic: store::Topic, key: &str) {
        self.hashes.swap_remove(&(topic, CompactString::new(key)));
    }

    /// Forgets the keys of `topic` for which `is_unreadable` returns `false`.
    pub fn retain(&mut self, topic: store::Topic, is_unreadable: impl Fn(&str) -> bool) {
        self.hashes
            .retain(|(known, key), _| *known != topic || is_unreadable(key));
    }
}
