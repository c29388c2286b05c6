//! Eviction of items above the memory limit.

use basilgrade_types::clock;
use basilgrade_types::size;

use crate::item;
use crate::item_set;
use crate::node;

/// Kinds of items in the order of eviction; the kind whose loss has the least impact comes first.
const EVICTION_ORDER: [fn(&item::Item) -> bool; 3] = [
    |item| matches!(item, item::Item::Prefix(_)),
    |item| matches!(item, item::Item::Demand { .. }),
    |item| matches!(item, item::Item::Load { .. }),
];

impl node::Node {
    /// Encoded size of all held items, in bytes.
    pub fn encoded_size(&self) -> usize {
        self.item_sets().map(item_set::ItemSet::encoded_size).sum()
    }

    /// Changes the memory limit, which takes effect in the next gossip round.
    pub fn set_memory_limit(&mut self, limit: size::ByteCount) {
        self.settings.memory = limit;
    }

    fn item_sets(&self) -> impl Iterator<Item = &item_set::ItemSet> {
        self.members
            .values()
            .map(|member| &member.items)
            .chain(self.summaries.values().map(|summary| &summary.items))
    }

    /// Evicts the oldest items of other owners, one kind after another, until the memory limit is
    /// met. Items that this daemon publishes itself are kept.
    pub(super) fn enforce_memory(&mut self) {
        let limit = self.settings.memory.0 as usize;
        for matches in EVICTION_ORDER {
            let encoded_size = self.encoded_size();
            if encoded_size <= limit {
                return;
            }
            // Evict down to 7/8 of the limit, so that not every new item causes an eviction.
            let excess = encoded_size - limit / 8 * 7;
            let cutoff = self.eviction_cutoff(matches, excess);
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
                items.discard(|held| matches(&held.item) && held.set_at <= cutoff);
            }
        }
    }

    /// Returns the time up to which matching items have to be evicted to free `excess` bytes.
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
