//! Mirror of a store topic: the newest record of each key.

use std::collections::VecDeque;

use basilgrade_adapter::store;
use bytes::Bytes;
use compact_str::CompactString;
use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;

use crate::follow::position;

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

impl Changes {
    /// Records that are set, oldest first.
    pub fn records(&self) -> impl Iterator<Item = (&CompactString, &Bytes)> {
        let (all, some) = match self {
            Self::All(records) => (Some(records), None),
            Self::Some(records) => (None, Some(records)),
        };
        let all = all.into_iter().flatten().map(|(key, value)| (key, value));
        let some = some.into_iter().flatten();
        all.chain(some.filter_map(|(key, value)| Some((key, value.as_ref()?))))
    }
}

/// Changes that bring a mirror of a topic to a position.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Update {
    pub topic: store::Topic,
    /// Position of the first record after the included ones.
    pub position: position::Position,
    pub changes: Changes,
}

/// The newest of `records` of each key, as a storm of configurations would take seconds to send.
fn newest_of_each_key<'a>(
    records: impl Iterator<Item = &'a (CompactString, Option<Bytes>)>,
) -> KeyedChanges {
    let newest: IndexMap<_, _> = records.map(|(key, value)| (key, value)).collect();
    let copies = newest.into_iter();
    copies
        .map(|(key, value)| (key.clone(), value.clone()))
        .collect()
}

/// Newest record of each key of a topic, as of a position.
#[derive(Clone, Debug)]
pub struct Mirror {
    topic: store::Topic,
    position: Option<position::Position>,
    records: IndexMap<CompactString, Bytes>,
    /// Recent batches of changes, each with the mirror's position before the batch.
    recent: VecDeque<(position::Position, KeyedChanges)>,
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

    /// Position of the first record that is not in the mirror; `None` before the first read.
    pub fn position(&self) -> Option<position::Position> {
        self.position
    }

    /// Newest value of each key.
    pub fn records(&self) -> &IndexMap<CompactString, Bytes> {
        &self.records
    }

    /// Applies changes up to `position`; `false`, without effect, if the mirror is
    /// newer.
    pub fn apply(&mut self, position: position::Position, changes: &Changes) -> bool {
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

    /// Sets a record without a change of the position.
    pub fn put(&mut self, key: CompactString, value: Bytes) {
        self.records.insert(key, value);
    }

    /// Update for a mirror at the position `known`, or `None` if that mirror is up to date.
    ///
    /// Contains only the changes since `known` if they are among the recent batches, and all
    /// records otherwise.
    pub fn since(&self, known: Option<position::Position>) -> Option<Update> {
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
            let records = batches.flat_map(|(_, records)| records);
            Changes::Some(match self.topic {
                store::Topic::Operators => newest_of_each_key(records),
                // Each registration counts, as its software version has served.
                store::Topic::Upstreams | store::Topic::Daemons => records.cloned().collect(),
            })
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
