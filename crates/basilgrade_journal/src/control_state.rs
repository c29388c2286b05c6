//! State of the log stream `control`: the slot ownerships and placement leases in force.

use basilgrade_types::clock;
use basilgrade_types::id;
use basilgrade_types::offset;
use basilgrade_types::slot;
use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;
use uuid::Uuid;

use crate::control_record;
use crate::grant;
use crate::history;
use crate::lease;
use crate::ownership;
use crate::replay;

/// The effect of one grant, release or lease of the log stream `control`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ControlEvent {
    /// A grant or a release changed the ownership of this slot.
    SlotChanged(slot::Slot),
    /// The grant or release of this slot in the record with this id had no effect.
    SlotRejected(Uuid, slot::Slot),
    /// The placement lease of this failure domain changed.
    LeaseChanged(id::DomainId),
    /// The lease record with this id had no effect on this failure domain.
    LeaseRejected(Uuid, id::DomainId),
}

/// The ownership in force of each slot and the placement lease in force of each failure domain.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ControlState {
    slots: IndexMap<slot::Slot, ownership::Ownership>,
    leases: IndexMap<id::DomainId, lease::Lease>,
}

impl ControlState {
    /// The ownership of `slot`; `None` if the slot was never granted.
    pub fn slot(&self, slot: slot::Slot) -> Option<&ownership::Ownership> {
        self.slots.get(&slot)
    }

    /// All slots that were ever granted, with their ownership.
    pub fn slots(&self) -> impl Iterator<Item = (slot::Slot, &ownership::Ownership)> {
        self.slots
            .iter()
            .map(|(slot, ownership)| (*slot, ownership))
    }

    /// The newest placement lease of `domain`, which may have expired; `None` if there was none.
    pub fn lease(&self, domain: &id::DomainId) -> Option<&lease::Lease> {
        self.leases.get(domain)
    }

    /// The number of slots granted to each failure domain.
    pub fn slot_counts(&self) -> IndexMap<id::DomainId, usize> {
        let mut counts = IndexMap::new();
        for grant in self.slots.values().filter_map(|owned| owned.grant.as_ref()) {
            *counts.entry(grant.domain.clone()).or_insert(0) += 1;
        }
        counts
    }

    fn apply_grant(&mut self, offset: offset::Offset, grant: &grant::Grant) -> bool {
        let current = self.slots.get(&grant.slot);
        // Records hold slots as plain numbers, so a record can name a slot that does not exist.
        if slot::Slot::new(grant.slot.number()).is_none()
            || current.map(|current| current.epoch) != grant.prev
            || current.is_some_and(|current| current.epoch >= offset)
            || !is_safe_grant(current, grant)
        {
            return false;
        }
        let (pair, former) = match current {
            Some(current) if grant.history == history::History::Kept => {
                let same_pair = current
                    .grant
                    .as_ref()
                    .is_some_and(|old| old.primary == grant.primary && old.backup == grant.backup);
                if same_pair {
                    (current.pair, current.former)
                } else {
                    (offset, Some(current.pair))
                }
            }
            _ => (offset, None),
        };
        let ownership = ownership::Ownership {
            epoch: offset,
            pair,
            former,
            ceiling: grant.ceiling,
            grant: Some(grant.clone()),
        };
        self.slots.insert(grant.slot, ownership);
        true
    }

    fn apply_release(
        &mut self,
        offset: offset::Offset,
        release: &control_record::SlotRelease,
    ) -> bool {
        let Some(current) = self.slots.get_mut(&release.slot) else {
            return false;
        };
        let Some(grant) = &current.grant else {
            return false;
        };
        if current.epoch != release.prev || current.epoch >= offset {
            return false;
        }
        *current = ownership::Ownership {
            epoch: offset,
            pair: offset,
            former: None,
            ceiling: release.ceiling.clamp(grant.floor, grant.ceiling),
            grant: None,
        };
        true
    }

    fn apply_lease(&mut self, lease: lease::Lease, prev: Option<offset::Offset>) -> bool {
        let current = self.leases.get(&lease.domain);
        if current.map(|current| current.offset) != prev
            || current.is_some_and(|current| current.offset >= lease.offset)
        {
            return false;
        }
        let former = current.map_or(clock::Millis::ZERO, |old| old.former.max(old.ttl));
        self.leases
            .insert(lease.domain.clone(), lease::Lease { former, ..lease });
        true
    }
}

/// Whether `grant` can follow the ownership `current` without letting a request key run twice.
///
/// Every reader checks this, so a faulty proposer cannot bring an unsafe grant into force.
fn is_safe_grant(current: Option<&ownership::Ownership>, grant: &grant::Grant) -> bool {
    if grant.floor > grant.ceiling || grant.backup.as_ref() == Some(&grant.primary) {
        return false;
    }
    let Some(current) = current else {
        return grant.history == history::History::Lost;
    };
    match grant.history {
        // Any key below the current ceiling may have been claimed, and no daemon knows which.
        history::History::Lost => grant.floor >= current.ceiling,
        // With a lower ceiling, a later grant with `history: lost` could have a floor below keys
        // that were claimed under the current ceiling.
        history::History::Kept => current.grant.as_ref().is_some_and(|old| {
            old.has_member(&grant.primary)
                && old.domain == grant.domain
                && grant.floor >= old.floor
                && grant.ceiling >= old.ceiling
        }),
    }
}

impl replay::Replay for ControlState {
    type Record = control_record::ControlRecord;
    type Event = ControlEvent;
    type Context = ();

    fn apply(
        &mut self,
        _context: &(),
        offset: offset::Offset,
        record: control_record::ControlRecord,
        events: &mut Vec<ControlEvent>,
    ) {
        match record {
            control_record::ControlRecord::Grants { id, grants } => {
                for grant in grants {
                    let slot = grant.slot;
                    events.push(if self.apply_grant(offset, &grant) {
                        ControlEvent::SlotChanged(slot)
                    } else {
                        ControlEvent::SlotRejected(id, slot)
                    });
                }
            }
            control_record::ControlRecord::Release { id, slots } => {
                for release in slots {
                    events.push(if self.apply_release(offset, &release) {
                        ControlEvent::SlotChanged(release.slot)
                    } else {
                        ControlEvent::SlotRejected(id, release.slot)
                    });
                }
            }
            control_record::ControlRecord::Lease {
                id,
                domain,
                holder,
                prev,
                ttl,
            } => {
                let lease = lease::Lease {
                    id,
                    offset,
                    domain: domain.clone(),
                    holder,
                    ttl: ttl.min(lease::TTL_LIMIT),
                    former: clock::Millis::ZERO,
                };
                events.push(if self.apply_lease(lease, prev) {
                    ControlEvent::LeaseChanged(domain)
                } else {
                    ControlEvent::LeaseRejected(id, domain)
                });
            }
            control_record::ControlRecord::Snapshot { .. } => {}
        }
    }

    fn from_snapshot(
        record: control_record::ControlRecord,
    ) -> Result<(offset::Offset, clock::Millis, Self), control_record::ControlRecord> {
        match record {
            control_record::ControlRecord::Snapshot {
                through,
                at,
                slots,
                leases,
            } => {
                let slots = slots
                    .into_iter()
                    .filter(|(slot, _)| slot::Slot::new(slot.number()).is_some())
                    .collect();
                let leases = leases
                    .into_iter()
                    .map(|lease| (lease.domain.clone(), lease))
                    .collect();
                Ok((through, at, Self { slots, leases }))
            }
            record => Err(record),
        }
    }

    fn can_follow(&self, earlier: &Self) -> bool {
        earlier.slots.iter().all(|(slot, ownership)| {
            self.slot(*slot)
                .is_some_and(|later| later.epoch >= ownership.epoch)
        }) && earlier.leases.iter().all(|(domain, lease)| {
            self.lease(domain)
                .is_some_and(|later| later.offset >= lease.offset)
        })
    }

    fn to_snapshot(
        &self,
        through: offset::Offset,
        at: clock::Millis,
    ) -> control_record::ControlRecord {
        control_record::ControlRecord::Snapshot {
            through,
            at,
            slots: self
                .slots
                .iter()
                .map(|(slot, ownership)| (*slot, ownership.clone()))
                .collect(),
            leases: self.leases.values().cloned().collect(),
        }
    }
}
