//! The items of one owner, in order of version.

use basilgrade_types::clock;
use indexmap::IndexMap;

use crate::item;
use crate::item_key;
use crate::item_set_delta;
use crate::limits;
use crate::timing;
use crate::versioned_item;

/// An item with its version and the time at which it was stored locally.
#[derive(Clone, Debug)]
pub(crate) struct StoredItem {
    pub(crate) version: u64,
    pub(crate) set_at: clock::Millis,
    pub(crate) item: item::Item,
}

/// Changes made by applying a delta.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct ApplyOutcome {
    /// The item set holds something it did not hold before.
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
    /// Tombstones up to this version may have expired; a peer with an older version is sent all
    /// items.
    pruned_version: u64,
    /// Items in ascending order of version.
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

    /// Sets an item and increments the version; only the owner of the items may call it.
    pub(crate) fn set(&mut self, now: clock::Millis, item: item::Item) {
        self.version += 1;
        let version = self.version;
        self.put(now, version, item);
    }

    fn put(&mut self, now: clock::Millis, version: u64, item: item::Item) {
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
            (item_set_delta::Extent::Whole, 0)
        } else {
            (item_set_delta::Extent::Newer, from)
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

    /// Applies the newer items of `delta`, unless the delta would leave a gap in the versions.
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
            item_set_delta::Extent::Newer if delta.from > self.version => return applied,
            item_set_delta::Extent::Newer => self.version,
            item_set_delta::Extent::Whole => {
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
            self.put(now, entry.version, entry.item);
        }
        self.version = delta.through;
        applied.advanced = true;
        applied
    }

    /// Drops tombstones that are old enough to have reached every replica.
    pub(crate) fn drop_expired_tombstones(&mut self, now: clock::Millis) {
        self.discard(|held| {
            held.item.is_tombstone() && now.since(held.set_at) > timing::TOMBSTONE_TTL
        });
    }

    /// Drops matching items and raises `pruned_version`, as deltas no longer contain them.
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
