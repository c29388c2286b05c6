//! Slot grants and leases in force.

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
use crate::stream_state;

/// What a record of stream `control` did.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ControlEvent {
    /// The ownership of a slot changed.
    SlotChanged(slot::Slot),
    /// A grant or slot release of record `id` had no effect.
    SlotRejected(Uuid, slot::Slot),
    /// The lease of a domain changed.
    LeaseChanged(id::DomainId),
    /// The lease record `id` had no effect.
    LeaseRejected(Uuid, id::DomainId),
}

/// What is in force for each slot and each failure domain.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ControlState {
    slots: IndexMap<slot::Slot, ownership::Ownership>,
    leases: IndexMap<id::DomainId, lease::Lease>,
}

impl ControlState {
    /// What is in force for `slot`; `None` if it was never granted.
    pub fn slot(&self, slot: slot::Slot) -> Option<&ownership::Ownership> {
        self.slots.get(&slot)
    }

    /// All slots that were ever granted.
    pub fn slots(&self) -> impl Iterator<Item = (slot::Slot, &ownership::Ownership)> {
        self.slots
            .iter()
            .map(|(slot, ownership)| (*slot, ownership))
    }

    /// The placement lease of `domain`.
    pub fn lease(&self, domain: &id::DomainId) -> Option<&lease::Lease> {
        self.leases.get(domain)
    }

    /// The number of slots that each failure domain holds.
    pub fn slot_counts(&self) -> IndexMap<id::DomainId, usize> {
        let mut counts = IndexMap::new();
        for grant in self.slots.values().filter_map(|held| held.grant.as_ref()) {
            *counts.entry(grant.domain.clone()).or_insert(0) += 1;
        }
        counts
    }

    fn grant(&mut self, offset: offset::Offset, grant: &grant::Grant) -> bool {
        let held = self.slots.get(&grant.slot);
        // Slots arrive as plain numbers, so a record can name one that does not exist.
        if slot::Slot::new(grant.slot.number()).is_none()
            || held.map(|held| held.epoch) != grant.prev
            || held.is_some_and(|held| held.epoch >= offset)
            || !allowed(held, grant)
        {
            return false;
        }
        let (pair, former) = match held {
            Some(held) if grant.history == history::History::Kept => {
                let same = held
                    .grant
                    .as_ref()
                    .is_some_and(|old| old.primary == grant.primary && old.backup == grant.backup);
                if same {
                    (held.pair, held.former)
                } else {
                    (offset, Some(held.pair))
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

    fn release(&mut self, offset: offset::Offset, release: &control_record::SlotRelease) -> bool {
        let Some(held) = self.slots.get_mut(&release.slot) else {
            return false;
        };
        let Some(grant) = &held.grant else {
            return false;
        };
        if held.epoch != release.prev || held.epoch >= offset {
            return false;
        }
        *held = ownership::Ownership {
            epoch: offset,
            pair: offset,
            former: None,
            ceiling: release.ceiling.clamp(grant.floor, grant.ceiling),
            grant: None,
        };
        true
    }

    fn lease_to(&mut self, lease: lease::Lease, prev: Option<offset::Offset>) -> bool {
        let held = self.leases.get(&lease.domain);
        if held.map(|held| held.offset) != prev
            || held.is_some_and(|held| held.offset >= lease.offset)
        {
            return false;
        }
        let former = held.map_or(clock::Millis::ZERO, |held| held.former.max(held.ttl));
        self.leases
            .insert(lease.domain.clone(), lease::Lease { former, ..lease });
        true
    }
}

/// Whether the contents of a grant are safe after what is in force.
///
/// All readers check this, so a faulty proposer cannot put an unsafe grant in force.
fn allowed(held: Option<&ownership::Ownership>, grant: &grant::Grant) -> bool {
    if grant.floor > grant.ceiling || grant.backup.as_ref() == Some(&grant.primary) {
        return false;
    }
    let Some(held) = held else {
        return grant.history == history::History::Lost;
    };
    match grant.history {
        // Keys up to the old ceiling may have been claimed, and nobody knows which.
        history::History::Lost => grant.floor >= held.ceiling,
        // A lower ceiling would let a later `history: lost` grant forget keys between the two.
        history::History::Kept => held.grant.as_ref().is_some_and(|old| {
            old.has_member(&grant.primary)
                && old.domain == grant.domain
                && grant.floor >= old.floor
                && grant.ceiling >= old.ceiling
        }),
    }
}

impl stream_state::StreamState for ControlState {
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
                    events.push(if self.grant(offset, &grant) {
                        ControlEvent::SlotChanged(slot)
                    } else {
                        ControlEvent::SlotRejected(id, slot)
                    });
                }
            }
            control_record::ControlRecord::Release { id, slots } => {
                for release in slots {
                    events.push(if self.release(offset, &release) {
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
                events.push(if self.lease_to(lease, prev) {
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
