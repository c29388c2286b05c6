//! Selection of the daemons and failure domains that own slots.

use std::cmp;

use basilgrade_journal::node;
use basilgrade_types::id;
use basilgrade_types::slot;
use indexmap::IndexMap;
use xxhash_rust::xxh3;

use crate::cluster_view;
use crate::slot_state;

/// The number of slots in which each daemon is primary or backup.
#[derive(Debug)]
pub(crate) struct RoleCounts {
    counts: IndexMap<node::Node, usize>,
}

impl RoleCounts {
    /// Counts the primaries and backups in the current grants of `slots`.
    pub(crate) fn count(slots: &[slot_state::SlotState]) -> Self {
        let mut roles = Self {
            counts: IndexMap::new(),
        };
        for grant in slots.iter().filter_map(slot_state::SlotState::grant) {
            roles.add(&grant.primary);
            if let Some(backup) = &grant.backup {
                roles.add(backup);
            }
        }
        roles
    }

    /// Counts one more role of `node`, so that grants planned for the same record are spread over
    /// the daemons.
    pub(crate) fn add(&mut self, node: &node::Node) {
        *self.counts.entry(node.clone()).or_insert(0) += 1;
    }

    /// The live daemon with the fewest roles that is not in `excluded`.
    ///
    /// Ties are broken by a hash over slot and VM name, so that daemons which propose grants at the
    /// same time do not all select the same one.
    pub(crate) fn pick_least_loaded(
        &self,
        view: &cluster_view::ClusterView,
        slot: slot::Slot,
        excluded: &[&node::Node],
    ) -> Option<node::Node> {
        view.live
            .iter()
            .filter(|node| !excluded.contains(node) && !view.is_dead(node))
            .min_by_key(|node| {
                let count = self.counts.get(*node).copied().unwrap_or(0);
                (count, hash(slot, node.vm.as_str()))
            })
            .cloned()
    }
}

/// The number of slots that each reachable failure domain owns, and the limits of its share.
#[derive(Debug)]
pub(crate) struct DomainShares {
    counts: IndexMap<id::DomainId, usize>,
    /// The most slots that a domain may take: an equal share, rounded up.
    max_slots: usize,
    /// The slots to which each domain is entitled: an equal share, rounded down.
    min_slots: usize,
}

impl DomainShares {
    /// Counts the slots of the failure domains that are reachable and have live daemons.
    pub(crate) fn count(view: &cluster_view::ClusterView, slots: &[slot_state::SlotState]) -> Self {
        let mut counts: IndexMap<_, _> = view
            .domains
            .iter()
            .filter(|(_, live)| **live > 0)
            .map(|(domain, _)| (domain.clone(), 0))
            .collect();
        let domains = counts.len().max(1);
        for grant in slots.iter().filter_map(slot_state::SlotState::grant) {
            if let Some(count) = counts.get_mut(&grant.domain) {
                *count += 1;
            }
        }
        let all = usize::from(slot::SLOT_COUNT);
        Self {
            counts,
            max_slots: all.div_ceil(domains),
            min_slots: all / domains,
        }
    }

    /// Assigns an unowned slot to a failure domain and counts it there; `None` if all domains are
    /// at their maximum.
    ///
    /// Domains below their minimum come first, so that each domain owns slots for the keys that it
    /// issues.
    pub(crate) fn assign(&mut self, slot: slot::Slot) -> Option<id::DomainId> {
        let (domain, count) = self
            .counts
            .iter_mut()
            .filter(|(_, count)| **count < self.max_slots)
            .min_by_key(|(domain, count)| {
                let below_min = **count < self.min_slots;
                (cmp::Reverse(below_min), hash(slot, domain.as_str()))
            })?;
        *count += 1;
        Some(domain.clone())
    }

    /// The number of slots that `domain` owns above its maximum; 0 unless another domain is below
    /// its minimum.
    pub(crate) fn excess(&self, domain: &id::DomainId) -> usize {
        let any_below_min = self.counts.values().any(|count| *count < self.min_slots);
        let held = self.counts.get(domain).copied().unwrap_or(0);
        if any_below_min {
            held.saturating_sub(self.max_slots)
        } else {
            0
        }
    }
}

fn hash(slot: slot::Slot, name: &str) -> u64 {
    xxh3::xxh3_64_with_seed(name.as_bytes(), u64::from(slot.number()))
}
