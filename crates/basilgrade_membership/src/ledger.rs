//! The items of one owner, in order of version.

use basilgrade_types::clock;
use indexmap::IndexMap;

use crate::item;
use crate::item_key;
use crate::ledger_delta;
use crate::limits;
use crate::timing;
use crate::versioned;

/// An item as held.
#[derive(Clone, Debug)]
pub(crate) struct Held {
    pub(crate) version: u64,
    pub(crate) at: clock::Millis,
    pub(crate) item: item::Item,
}

/// What applying a delta changed.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct Applied {
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
pub(crate) struct Ledger {
    version: u64,
    /// Withdrawals up to this version may have expired here.
    floor: u64,
    /// In ascending order of version.
    items: IndexMap<item_key::ItemKey, Held>,
    weight: usize,
}

impl Ledger {
    pub(crate) fn version(&self) -> u64 {
        self.version
    }

    pub(crate) fn weight(&self) -> usize {
        self.weight
    }

    pub(crate) fn get(&self, key: item_key::ItemKey) -> Option<&Held> {
        self.items.get(&key)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &Held> {
        self.items.values()
    }

    /// Sets an item of the own ledger.
    pub(crate) fn set(&mut self, now: clock::Millis, item: item::Item) {
        self.version += 1;
        let version = self.version;
        self.put(now, version, item);
    }

    fn put(&mut self, now: clock::Millis, version: u64, item: item::Item) {
        let key = item.key();
        if let Some(old) = self.items.shift_remove(&key) {
            self.weight -= old.item.weight();
        }
        if self.weight + item.weight() > limits::LEDGER_LIMIT {
            return;
        }
        self.weight += item.weight();
        self.items.insert(
            key,
            Held {
                version,
                at: now,
                item,
            },
        );
    }

    /// The delta for a replica at version `from`, if it lacks anything.
    pub(crate) fn delta(&self, from: u64) -> Option<ledger_delta::LedgerDelta> {
        if from >= self.version {
            return None;
        }
        let (extent, from) = if from > 0 && from < self.floor {
            (ledger_delta::Extent::Whole, 0)
        } else {
            (ledger_delta::Extent::Newer, from)
        };
        let start = self.items.partition_point(|_, held| held.version <= from);
        let items = self.items[start..]
            .values()
            .map(|held| versioned::Versioned {
                version: held.version,
                item: held.item.clone(),
            })
            .collect();
        Some(ledger_delta::LedgerDelta {
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
        delta: ledger_delta::LedgerDelta,
    ) -> Applied {
        let mut applied = Applied::default();
        if delta.through <= self.version {
            return applied;
        }
        let held = match delta.extent {
            ledger_delta::Extent::Newer if delta.from > self.version => return applied,
            ledger_delta::Extent::Newer => self.version,
            ledger_delta::Extent::Whole => {
                self.items.clear();
                self.weight = 0;
                self.floor = 0;
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

    /// Drops withdrawals that have had time to reach everyone.
    pub(crate) fn prune(&mut self, now: clock::Millis) {
        self.discard(|held| {
            held.item.is_withdrawal() && now.since(held.at) > timing::WITHDRAWN_FOR
        });
    }

    /// Drops matching items and remembers that deltas can no longer mention them.
    pub(crate) fn discard(&mut self, mut matches: impl FnMut(&Held) -> bool) {
        let (mut floor, mut weight) = (self.floor, self.weight);
        self.items.retain(|_, held| {
            let drop = matches(held);
            if drop {
                floor = floor.max(held.version);
                weight -= held.item.weight();
            }
            !drop
        });
        self.floor = floor;
        self.weight = weight;
    }
}
