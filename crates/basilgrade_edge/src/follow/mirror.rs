//! Mirror of a store topic: the newest record of each key.

use std::collections::VecDeque;

use basilgrade_adapter::store;
use bytes::Bytes;
use compact_str::CompactString;
use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;

/// Maximum number of recent batches of changes kept to update other daemons incrementally.
const MAX_RECENT_BATCHES: usize = 64;

/// Appended records, oldest first; `None` as value removes the key.
type KeyedChanges = Vec<(CompactString, Option<Bytes>)>;

/// Changes to a topic.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum Changes {
    /// Newest records of all keys; replaces the records of the mirror.
    All(Vec<(CompactString, Bytes)>),
    /// Appended records, oldest first; `None` as value removes the key.
    Some(KeyedChanges),
}

/// Changes that bring a mirror of a topic to an offset.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Update {
    pub topic: store::Topic,
    /// Offset of the first record after the included ones.
    pub position: u64,
    pub changes: Changes,
}

/// Newest record of each key of a topic, as of an offset.
#[derive(Clone, Debug)]
pub struct Mirror {
    topic: store::Topic,
    position: Option<u64>,
    records: IndexMap<CompactString, Bytes>,
    /// Recent batches of changes, each with the mirror's offset before the batch.
    recent: VecDeque<(u64, KeyedChanges)>,
}

impl Mirror {
    /// Empty mirror, before the first read of `topic`.
    pub fn new(topic: store::Topic) -> Self {
        Self {
            topic,
            position: None,
            records: IndexMap::new(),
            recent: VecDeque::new(),
        }
    }

    /// Offset of the first record that is not in the mirror; `None` before the first read.
    pub fn position(&self) -> Option<u64> {
        self.position
    }

    /// Newest value of each key.
    pub fn records(&self) -> &IndexMap<CompactString, Bytes> {
        &self.records
    }

    /// Applies changes up to the offset `position`; `false`, without effect, if the mirror is
    /// newer.
    pub fn apply(&mut self, position: u64, changes: &Changes) -> bool {
        if self.position.is_some_and(|known| known > position) {
            return false;
        }
        match changes {
            Changes::All(records) => {
                self.records = records.iter().cloned().collect();
                self.recent.clear();
            }
            Changes::Some(records) => {
                for (key, value) in records {
                    match value {
                        Some(value) => self.records.insert(key.clone(), value.clone()),
                        None => self.records.swap_remove(key),
                    };
                }
                let from = self.position.unwrap_or_default();
                self.recent.push_back((from, records.clone()));
                if self.recent.len() > MAX_RECENT_BATCHES {
                    self.recent.pop_front();
                }
            }
        }
        self.position = Some(position);
        true
    }

    /// Update for a mirror at the offset `known`, or `None` if that mirror is up to date.
    ///
    /// Contains only the changes since `known` if they are among the recent batches, and all
    /// records otherwise.
    pub fn since(&self, known: Option<u64>) -> Option<Update> {
        let position = self.position?;
        if known.is_some_and(|known| known >= position) {
            return None;
        }
        let first = self
            .recent
            .iter()
            .position(|(from, _)| Some(*from) == known);
        let changes = if let Some(first) = first {
            let batches = self.recent.iter().skip(first);
            Changes::Some(batches.flat_map(|(_, records)| records.clone()).collect())
        } else {
            let copy = |(key, value): (&CompactString, &Bytes)| (key.clone(), value.clone());
            Changes::All(self.records.iter().map(copy).collect())
        };
        Some(Update {
            topic: self.topic,
            position,
            changes,
        })
    }
}
