//! The items of one owner, in order of version.

use basilgrade_types::clock;
use indexmap::IndexMap;

use crate::item;
use crate::item_key;
use crate::item_set_delta;
use crate::limits;
use crate::timing;
use crate::versioned_item;

/// An item as held.
#[derive(Clone, Debug)]
pub(crate) struct StoredItem {
    pub(crate) version: u64,
    pub(crate) set_at: clock::Millis,
    pub(crate) item: item::Item,
}

/// What applying a delta changed.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct ApplyOutcome {
    /// The ledger holds something it did not hold before.
    pub(crate) advanced: bool,
    /// An urgent item has another value than before.
    pub(crate) urgent: bool,
}

/// The items of one owner under one version counter.
///
/// An owner counts all its items with one version, so a single number in a digest says what a
/// peer lacks, and a lost, repeated or reordered delta cannot leave a gap.
#[derive(Clone, Debug, Default)]
pub(crate) struct ItemSet {
    version: u64,
    /// Withdrawals up to this version may have expired here.
    pruned_version: u64,
    /// In ascending order of version.
    items: IndexMap<item_key::ItemKey, StoredItem>,
    encoded_size: usize,
}

impl ItemSet {
    pub(crate) fn version(&self) -> u64 {
        self.version
    }

    pub(crate) fn encoded_size(&self) -> usize {
        self.encoded_size
    }

    pub(crate) fn get(&self, key: item_key::ItemKey) -> Option<&StoredItem> {
        self.items.get(&key)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &StoredItem> {
        self.items.values()
    }

    /// Sets an item of the own ledger.
    pub(crate) fn set(&mut self, now: clock::Millis, item: item::Item) {
        self.version += 1;
        let version = self.version;
        self.insert(now, version, item);
    }

    fn insert(&mut self, now: clock::Millis, version: u64, item: item::Item) {
        let key = item.key();
        if let Some(old) = self.items.shift_remove(&key) {
            self.encoded_size -= old.item.encoded_size();
        }
        if self.encoded_size + item.encoded_size() > limits::MAX_ITEM_SET_BYTES {
            return;
        }
        self.encoded_size += item.encoded_size();
        self.items.insert(
            key,
            StoredItem {
                version,
                set_at: now,
                item,
            },
        );
    }

    /// The delta for a replica at version `from`, if it lacks anything.
    pub(crate) fn delta(&self, from: u64) -> Option<item_set_delta::ItemSetDelta> {
        if from >= self.version {
            return None;
        }
        let (extent, from) = if from > 0 && from < self.pruned_version {
            (item_set_delta::Extent::Full, 0)
        } else {
            (item_set_delta::Extent::Incremental, from)
        };
        let start = self.items.partition_point(|_, held| held.version <= from);
        let items = self.items[start..]
            .values()
            .map(|held| versioned_item::VersionedItem {
                version: held.version,
                item: held.item.clone(),
            })
            .collect();
        Some(item_set_delta::ItemSetDelta {
            from,
            through: self.version,
            extent,
            items,
        })
    }

    /// Takes over what is newer in `delta`.
    pub(crate) fn apply(
        &mut self,
        now: clock::Millis,
        delta: item_set_delta::ItemSetDelta,
    ) -> ApplyOutcome {
        let mut applied = ApplyOutcome::default();
        if delta.through <= self.version {
            return applied;
        }
        let held = match delta.extent {
            item_set_delta::Extent::Incremental if delta.from > self.version => return applied,
            item_set_delta::Extent::Incremental => self.version,
            item_set_delta::Extent::Full => {
                self.items.clear();
                self.encoded_size = 0;
                self.pruned_version = 0;
                0
            }
        };
        let mut last = held;
        for entry in delta.items {
            if entry.version <= last || entry.version > delta.through {
                continue;
            }
            last = entry.version;
            let changed = self
                .items
                .get(&entry.item.key())
                .is_none_or(|old| old.item != entry.item);
            applied.urgent |= changed && entry.item.is_urgent();
            self.insert(now, entry.version, entry.item);
        }
        self.version = delta.through;
        applied.advanced = true;
        applied
    }

    /// Drops withdrawals that have had time to reach everyone.
    pub(crate) fn drop_expired_tombstones(&mut self, now: clock::Millis) {
        self.discard(|held| {
            held.item.is_tombstone() && now.since(held.set_at) > timing::TOMBSTONE_TTL
        });
    }

    /// Drops matching items and remembers that deltas can no longer mention them.
    pub(crate) fn discard(&mut self, mut matches: impl FnMut(&StoredItem) -> bool) {
        let (mut pruned_version, mut encoded_size) = (self.pruned_version, self.encoded_size);
        self.items.retain(|_, held| {
            let drop = matches(held);
            if drop {
                pruned_version = pruned_version.max(held.version);
                encoded_size -= held.item.encoded_size();
            }
            !drop
        });
        self.pruned_version = pruned_version;
        self.encoded_size = encoded_size;
    }
}
