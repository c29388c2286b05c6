//! Which daemons and failure domains should hold slots.

use std::cmp;

use basilgrade_journal::node;
use basilgrade_types::id;
use basilgrade_types::slot;
use indexmap::IndexMap;
use xxhash_rust::xxh3;

use crate::cluster_view;
use crate::slot_state;

/// The number of roles that each daemon has, as primary or backup.
#[derive(Debug)]
pub(crate) struct Roles {
    counts: IndexMap<node::Node, usize>,
}

impl Roles {
    /// Counts the roles in the grants in force.
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

    /// Adds a role, so that further choices for the same record spread out.
    pub(crate) fn add(&mut self, node: &node::Node) {
        *self.counts.entry(node.clone()).or_insert(0) += 1;
    }

    /// The live daemon with the fewest roles, other than those in `except`.
    ///
    /// Ties are broken by a hash over slot and daemon, which spreads the choices of proposers that
    /// act at the same time.
    pub(crate) fn pick(
        &self,
        view: &cluster_view::ClusterView,
        slot: slot::Slot,
        except: &[&node::Node],
    ) -> Option<node::Node> {
        view.live
            .iter()
            .filter(|node| !except.contains(node) && !view.is_dead(node))
            .min_by_key(|node| {
                let count = self.counts.get(*node).copied().unwrap_or(0);
                (count, hash(slot, node.vm.as_str()))
            })
            .cloned()
    }
}

/// How many slots each failure domain holds and may take.
#[derive(Debug)]
pub(crate) struct Shares {
    counts: IndexMap<id::DomainId, usize>,
    quota: usize,
    least: usize,
}

impl Shares {
    /// Counts the slots of the failure domains that are reachable.
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
            quota: all.div_ceil(domains),
            least: all / domains,
        }
    }

    /// The domain that should take a slot without owner; counts it as taken.
    ///
    /// Domains with less than their share come first, so that each can mint keys of its own.
    pub(crate) fn assign(&mut self, slot: slot::Slot) -> Option<id::DomainId> {
        let (domain, count) = self
            .counts
            .iter_mut()
            .filter(|(_, count)| **count < self.quota)
            .min_by_key(|(domain, count)| {
                let short = **count < self.least;
                (cmp::Reverse(short), hash(slot, domain.as_str()))
            })?;
        *count += 1;
        Some(domain.clone())
    }

    /// How many slots `domain` holds above its share while another domain lacks some.
    pub(crate) fn excess(&self, domain: &id::DomainId) -> usize {
        let lacking = self.counts.values().any(|count| *count < self.least);
        let held = self.counts.get(domain).copied().unwrap_or(0);
        if lacking {
            held.saturating_sub(self.quota)
        } else {
            0
        }
    }
}

fn hash(slot: slot::Slot, name: &str) -> u64 {
    xxh3::xxh3_64_with_seed(name.as_bytes(), u64::from(slot.number()))
}
