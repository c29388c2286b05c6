//! The memory limit.

use basilgrade_types::clock;
use basilgrade_types::size;

use crate::item;
use crate::item_set;
use crate::node;

/// Kinds of items in the order in which they are evicted: what costs least to lose comes first.
const EVICTION_ORDER: [fn(&item::Item) -> bool; 3] = [
    |item| matches!(item, item::Item::Prefix(_)),
    |item| matches!(item, item::Item::Demand { .. }),
    |item| matches!(item, item::Item::Load { .. }),
];

impl node::Node {
    /// Encoded size of all items held, in bytes.
    pub fn encoded_size(&self) -> usize {
        self.item_sets().map(item_set::ItemSet::encoded_size).sum()
    }

    /// Changes the memory limit; it takes effect in the next round.
    pub fn set_memory_limit(&mut self, limit: size::ByteCount) {
        self.settings.memory = limit;
    }

    fn item_sets(&self) -> impl Iterator<Item = &item_set::ItemSet> {
        self.members
            .values()
            .map(|member| &member.items)
            .chain(self.summaries.values().map(|summary| &summary.items))
    }

    /// Evicts the oldest items of others, kind by kind, until the limit is kept.
    pub(super) fn enforce_memory(&mut self) {
        let limit = self.settings.memory.0 as usize;
        for matches in EVICTION_ORDER {
            let encoded_size = self.encoded_size();
            if encoded_size <= limit {
                return;
            }
            // Below the limit by an eighth, so that not every new item evicts one.
            let excess = encoded_size - limit / 8 * 7;
            let cut = self.eviction_cutoff(matches, excess);
            let own = self.tag;
            let replicas = self
                .members
                .iter_mut()
                .filter(|(tag, _)| **tag != own)
                .map(|(_, member)| &mut member.items)
                .chain(
                    self.summaries
                        .values_mut()
                        .filter(|summary| summary.term.writer != own)
                        .map(|summary| &mut summary.items),
                );
            for items in replicas {
                items.discard(|held| matches(&held.item) && held.set_at <= cut);
            }
        }
    }

    /// The time up to which items must go for `excess` bytes to be freed.
    fn eviction_cutoff(&self, matches: fn(&item::Item) -> bool, excess: usize) -> clock::Millis {
        let mut ages: Vec<(clock::Millis, usize)> = self
            .item_sets()
            .flat_map(item_set::ItemSet::iter)
            .filter(|held| matches(&held.item))
            .map(|held| (held.set_at, held.item.encoded_size()))
            .collect();
        ages.sort_unstable();
        let mut freed = 0;
        for (at, encoded_size) in &ages {
            freed += encoded_size;
            if freed >= excess {
                return *at;
            }
        }
        clock::Millis::MAX
    }
}
