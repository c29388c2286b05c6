//! The memory limit.

use basilgrade_types::clock;
use basilgrade_types::size;

use crate::item;
use crate::ledger;
use crate::node;

/// Kinds of items in the order in which they are evicted: what costs least to lose comes first.
const EVICTION_ORDER: [fn(&item::Item) -> bool; 3] = [
    |item| matches!(item, item::Item::Prefix(_)),
    |item| matches!(item, item::Item::Demand { .. }),
    |item| matches!(item, item::Item::Load { .. }),
];

impl node::Node {
    /// Encoded size of all items held, in bytes.
    pub fn weight(&self) -> usize {
        self.ledgers().map(ledger::Ledger::weight).sum()
    }

    /// Changes the memory limit; it takes effect in the next round.
    pub fn set_memory_limit(&mut self, limit: size::ByteCount) {
        self.settings.memory = limit;
    }

    fn ledgers(&self) -> impl Iterator<Item = &ledger::Ledger> {
        self.members
            .values()
            .map(|member| &member.ledger)
            .chain(self.domains.values().map(|summary| &summary.ledger))
    }

    /// Evicts the oldest items of others, kind by kind, until the limit is kept.
    pub(super) fn enforce_memory(&mut self) {
        let limit = self.settings.memory.0 as usize;
        for matches in EVICTION_ORDER {
            let weight = self.weight();
            if weight <= limit {
                return;
            }
            // Below the limit by an eighth, so that not every new item evicts one.
            let excess = weight - limit / 8 * 7;
            let cut = self.eviction_cut(matches, excess);
            let own = self.tag;
            let replicas = self
                .members
                .iter_mut()
                .filter(|(tag, _)| **tag != own)
                .map(|(_, member)| &mut member.ledger)
                .chain(
                    self.domains
                        .values_mut()
                        .filter(|summary| summary.term.writer != own)
                        .map(|summary| &mut summary.ledger),
                );
            for ledger in replicas {
                ledger.discard(|held| matches(&held.item) && held.at <= cut);
            }
        }
    }

    /// The time up to which items must go for `excess` bytes to be freed.
    fn eviction_cut(&self, matches: fn(&item::Item) -> bool, excess: usize) -> clock::Millis {
        let mut ages: Vec<(clock::Millis, usize)> = self
            .ledgers()
            .flat_map(ledger::Ledger::iter)
            .filter(|held| matches(&held.item))
            .map(|held| (held.at, held.item.weight()))
            .collect();
        ages.sort_unstable();
        let mut freed = 0;
        for (at, weight) in &ages {
            freed += weight;
            if freed >= excess {
                return *at;
            }
        }
        clock::Millis::MAX
    }
}
