//! A copy of the newest records of a topic.

use std::collections::VecDeque;

use basilgrade_adapter::store;
use bytes::Bytes;
use compact_str::CompactString;
use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;

/// Batches of changes that are kept for daemons that know all but the last ones.
const MAX_RECENT_BATCHES: usize = 64;

/// Records that were added; without a value, the key is removed.
type KeyedChanges = Vec<(CompactString, Option<Bytes>)>;

/// Changes to a topic.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum Changes {
    /// All newest records.
    All(Vec<(CompactString, Bytes)>),
    /// Records that were added; without a value, the key is removed.
    Some(KeyedChanges),
}

/// Changes to a topic up to an offset.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Update {
    /// The topic.
    pub topic: store::Topic,
    /// Offset of the first record that is not included.
    pub position: u64,
    /// What changed.
    pub changes: Changes,
}

/// The newest records of a topic, as of an offset.
#[derive(Clone, Debug)]
pub struct Mirror {
    topic: store::Topic,
    position: Option<u64>,
    records: IndexMap<CompactString, Bytes>,
    /// Last changes, each with the offset that it starts from.
    recent: VecDeque<(u64, KeyedChanges)>,
}

impl Mirror {
    /// A copy before the first read.
    pub fn new(topic: store::Topic) -> Self {
        Self {
            topic,
            position: None,
            records: IndexMap::new(),
            recent: VecDeque::new(),
        }
    }

    /// Offset of the first record that is not in the copy; `None` before the first read.
    pub fn position(&self) -> Option<u64> {
        self.position
    }

    /// Newest value of each key.
    pub fn records(&self) -> &IndexMap<CompactString, Bytes> {
        &self.records
    }

    /// Applies changes up to `position`; `false` if newer ones were applied before.
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

    /// What a copy that ends at `known` lacks.
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
