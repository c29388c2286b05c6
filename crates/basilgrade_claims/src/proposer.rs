//! Proposals of slot grants and releases.
//!
//! A grant assigns a slot to a primary and a backup daemon. Daemons propose grants by appending
//! records to the log stream `control`; a record takes effect if it names the slot's newest epoch.

use basilgrade_journal::control_record;
use basilgrade_journal::encode;
use basilgrade_journal::grant;
use basilgrade_journal::history;
use basilgrade_journal::node;
use basilgrade_journal::ownership;
use basilgrade_journal::publication;
use basilgrade_types::clock;
use basilgrade_types::offset;
use basilgrade_types::slot;
use rand::Rng;
use uuid::Uuid;

use crate::claims;
use crate::cluster_view;
use crate::output;
use crate::slot_placement;
use crate::slot_state;
use crate::sync;

/// Whether the daemon keeps its slots or hands them over.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum Mode {
    #[default]
    Serving,
    /// The daemon is shutting down and hands its slots over to other daemons.
    Draining,
}

/// An appended record whose effect is not known yet.
#[derive(Clone, Copy, Debug)]
struct OutstandingAppend {
    id: Uuid,
    sent_at: clock::Millis,
    /// How long after `sent_at` the effect of the record is awaited.
    timeout: clock::Millis,
    /// The offset of the record; `None` until the log reports it.
    offset: Option<offset::Offset>,
}

/// The state of one daemon's proposals, of which at most one record is outstanding.
#[derive(Debug, Default)]
pub(crate) struct Proposer {
    mode: Mode,
    outstanding: Option<OutstandingAppend>,
    /// Stream `control` has been read up to this offset, exclusive; `None` before the first read.
    next_offset: Option<offset::Offset>,
    /// The time of the first tick after the first read of stream `control`.
    started_at: Option<clock::Millis>,
    /// No record is proposed before this instant.
    not_before: clock::Millis,
}

impl Proposer {
    /// Notes that stream `control` has been read up to offset `next`, exclusive.
    pub(crate) fn note_read(&mut self, next: offset::Offset) {
        self.next_offset = Some(next);
        let done = |append: &OutstandingAppend| append.offset.is_some_and(|offset| next > offset);
        if self.outstanding.as_ref().is_some_and(done) {
            self.outstanding = None;
        }
    }
}

/// A proposed change of the ownership of one slot.
enum Proposal {
    Grant(grant::Grant),
    Release(control_record::SlotRelease),
}

impl claims::Claims {
    /// Handles the answer of the log to the append of record `id`.
    ///
    /// A record is not appended again after [`publication::AppendResult::Unknown`]. The next
    /// proposal is made from the then current state of the stream, and has no effect if the earlier
    /// record took effect.
    pub fn appended(&mut self, id: Uuid, appended: publication::AppendResult) {
        let Some(outstanding) = &mut self.proposer.outstanding else {
            return;
        };
        if outstanding.id != id {
            return;
        }
        match appended {
            publication::AppendResult::Stored(offset) => {
                outstanding.offset = Some(offset);
                if self.proposer.next_offset.is_some_and(|next| next > offset) {
                    self.proposer.outstanding = None;
                }
            }
            publication::AppendResult::Refused => outstanding.timeout = self.settings.resend_after,
            publication::AppendResult::Unknown => {}
        }
    }

    /// Starts the handover of all slots of this daemon; [`claims::Claims::is_drained`] tells when
    /// the handover is complete.
    pub fn drain(&mut self) {
        self.proposer.mode = Mode::Draining;
    }

    /// Whether this daemon is neither primary nor backup of any slot and has no open attempts.
    pub fn is_drained(&self) -> bool {
        self.attempts.is_empty()
            && !self
                .slots
                .iter()
                .filter_map(slot_state::SlotState::grant)
                .any(|grant| grant.has_member(&self.me))
    }

    /// Requests the append of one record with the grants that are due or, if there are none, with
    /// the releases that are due.
    ///
    /// Planning rounds are at least [`crate::settings::Settings::plan_interval`] apart.
    pub(crate) fn propose(
        &mut self,
        now: clock::Millis,
        view: &cluster_view::ClusterView,
        rng: &mut dyn Rng,
    ) {
        if self.proposer.next_offset.is_none() {
            return;
        }
        let started = *self.proposer.started_at.get_or_insert(now);
        if let Some(outstanding) = self.proposer.outstanding
            && now < outstanding.sent_at.plus(outstanding.timeout)
        {
            return;
        }
        if let Some(outstanding) = self.proposer.outstanding.take() {
            // The log is slow or unavailable. Each daemon waits a random time before the next
            // append, so that they do not all append at once when the log is available again.
            let spread = outstanding.timeout.0.max(1);
            self.proposer.not_before = now.plus(clock::Millis(rng.next_u64() % spread));
        }
        if now < self.proposer.not_before {
            return;
        }
        self.proposer.not_before = now.plus(self.settings.plan_interval);
        let (grants, slots) = self.plan_proposals(now, started, view, rng);
        let id = Uuid::from_u128(u128::from(rng.next_u64()) << 64 | u128::from(rng.next_u64()));
        let record = if !grants.is_empty() {
            control_record::ControlRecord::Grants { id, grants }
        } else if !slots.is_empty() {
            for release in &slots {
                if let Some(state) = self.state_mut(release.slot) {
                    state.release_ceiling = Some(release.ceiling);
                }
            }
            control_record::ControlRecord::Release { id, slots }
        } else {
            return;
        };
        self.proposer.outstanding = Some(OutstandingAppend {
            id,
            sent_at: now,
            timeout: self.settings.append_timeout,
            offset: None,
        });
        self.outputs.push_back(output::Output::Append {
            id,
            body: encode::json_line(&record),
        });
    }

    /// The grants and releases that are due now.
    fn plan_proposals(
        &mut self,
        now: clock::Millis,
        started: clock::Millis,
        view: &cluster_view::ClusterView,
        rng: &mut dyn Rng,
    ) -> (Vec<grant::Grant>, Vec<control_record::SlotRelease>) {
        let mut roles = slot_placement::RoleCounts::count(&self.slots);
        let mut shares = slot_placement::DomainShares::count(view, &self.slots);
        let mut excess = shares.excess(&self.domain);
        let mut grants = Vec::new();
        let mut releases = Vec::new();
        let renewing = slot::Slot::all().any(|slot| self.renewal_due(now, slot, 4));
        for slot in slot::Slot::all() {
            // A domain releases its highest-numbered slots first, whichever daemons are their
            // primaries.
            let surplus = excess > 0 && self.is_in_surplus(slot, excess);
            let proposal = if self.is_member(slot) {
                self.propose_as_member(now, slot, view, &roles, surplus, renewing)
            } else {
                self.propose_for_unowned(now, started, slot, view, &roles, &mut shares, rng)
                    .map(Proposal::Grant)
            };
            match proposal {
                Some(Proposal::Grant(grant)) => {
                    roles.add(&grant.primary);
                    if let Some(backup) = &grant.backup {
                        roles.add(backup);
                    }
                    grants.push(grant);
                }
                Some(Proposal::Release(release)) => {
                    excess = excess.saturating_sub(1);
                    releases.push(release);
                }
                None => {}
            }
        }
        (grants, releases)
    }

    fn is_member(&self, slot: slot::Slot) -> bool {
        self.state(slot)
            .and_then(slot_state::SlotState::grant)
            .is_some_and(|grant| grant.has_member(&self.me))
    }

    /// Whether `slot` is among the `excess` highest-numbered slots of this daemon's domain.
    fn is_in_surplus(&self, slot: slot::Slot, excess: usize) -> bool {
        let above = self.slots[usize::from(slot.number())..]
            .iter()
            .skip(1)
            .filter_map(slot_state::SlotState::grant)
            .filter(|grant| grant.domain == self.domain)
            .count();
        above < excess
    }

    /// Whether this daemon is primary and less than `sixths` sixths of the autonomy (the time for
    /// which a pair continues without the log) are left until the ceiling of its grant.
    ///
    /// With `sixths` = 4, a grant is renewed every third of the autonomy.
    fn renewal_due(&self, now: clock::Millis, slot: slot::Slot, sixths: u64) -> bool {
        self.state(slot).is_some_and(|state| {
            state.is_primary(&self.me)
                && state.grant().is_some_and(|grant| {
                    grant.ceiling < now.plus(clock::Millis(self.settings.autonomy.0 * sixths / 6))
                })
        })
    }

    /// The proposal that is due for a slot of which this daemon is primary or backup.
    fn propose_as_member(
        &self,
        now: clock::Millis,
        slot: slot::Slot,
        view: &cluster_view::ClusterView,
        roles: &slot_placement::RoleCounts,
        surplus: bool,
        renewing: bool,
    ) -> Option<Proposal> {
        let state = self.state(slot)?;
        let ownership = state.ownership.as_ref()?;
        let grant = ownership.grant.as_ref()?;
        let pick = |excluded: &[&node::Node]| roles.pick_least_loaded(view, slot, excluded);
        let keep_claims = |primary: &node::Node, backup| {
            Some(Proposal::Grant(self.successor_grant(
                now, state, ownership, grant, primary, backup,
            )))
        };
        if !state.is_synced() {
            // A member without all claims cannot pass them on. A primary replaces the pair by one
            // that begins without claims; a backup does so only when the primary is dead.
            let other_dead = grant
                .other(&self.me)
                .is_none_or(|other| view.is_dead(other));
            let primary = grant.primary == self.me;
            return (primary || other_dead)
                .then(|| self.empty_grant(now, slot, Some(ownership), &self.me, pick(&[&self.me])))
                .map(Proposal::Grant);
        }
        if grant.primary != self.me {
            return view
                .is_dead(&grant.primary)
                .then(|| keep_claims(&self.me, pick(&[&self.me, &grant.primary])))?;
        }
        if state.release_ceiling.is_some() {
            return Some(release(state, ownership, grant));
        }
        let live_backup = grant.backup.as_ref().filter(|backup| !view.is_dead(backup));
        if self.proposer.mode == Mode::Draining {
            return match live_backup {
                Some(backup) if matches!(state.backup_sync, sync::BackupSync::Complete) => {
                    keep_claims(backup, pick(&[&self.me, backup]))
                }
                // The claims are still being transferred to the backup.
                Some(_) => None,
                None => match pick(&[&self.me]) {
                    Some(backup) => keep_claims(&self.me, Some(backup)),
                    None => Some(release(state, ownership, grant)),
                },
            };
        }
        if surplus {
            return Some(release(state, ownership, grant));
        }
        match live_backup {
            Some(backup) if view.leaving.contains(backup) => {
                let other = pick(&[&self.me, backup]);
                if other.is_some() {
                    return keep_claims(&self.me, other);
                }
            }
            Some(_) => {}
            None => {
                let other = pick(&[&self.me]);
                if other.is_some() || grant.backup.is_some() {
                    return keep_claims(&self.me, other);
                }
            }
        }
        // When a grant has less than 4/6 of the autonomy left, all grants with less than 5/6 left
        // are renewed in the same record.
        (renewing && self.renewal_due(now, slot, 5))
            .then(|| keep_claims(&self.me, grant.backup.clone()))?
    }

    /// The grant that is due for a slot of which this daemon is neither primary nor backup.
    #[expect(clippy::too_many_arguments, reason = "inputs of one proposal")]
    fn propose_for_unowned(
        &mut self,
        now: clock::Millis,
        started: clock::Millis,
        slot: slot::Slot,
        view: &cluster_view::ClusterView,
        roles: &slot_placement::RoleCounts,
        shares: &mut slot_placement::DomainShares,
        rng: &mut dyn Rng,
    ) -> Option<grant::Grant> {
        let fallback = self.settings.fallback_delay;
        let grant = self.state(slot)?.grant();
        let own = grant.is_some_and(|grant| grant.domain == self.domain);
        let vacant = grant.is_none_or(|grant| {
            let members_dead = view.is_dead(&grant.primary)
                && grant.backup.as_ref().is_none_or(|node| view.is_dead(node));
            // Members in another domain may be alive but unreachable and still own the slot. They
            // cannot grant keys at or above the ceiling, so the slot is free after it.
            members_dead && (own || now >= grant.ceiling.plus(fallback))
        });
        if !vacant {
            self.state_mut(slot)?.unowned_since = None;
            return None;
        }
        let since = *self.state_mut(slot)?.unowned_since.get_or_insert(now);
        let assigned = if own {
            Some(self.domain.clone())
        } else {
            shares.assign(slot)
        };
        if !view.is_proposer(&self.me)
            || self.proposer.mode == Mode::Draining
            || now < started.plus(self.settings.start_delay)
        {
            return None;
        }
        let assigned_here = assigned.as_ref() == Some(&self.domain);
        let late = now >= since.plus(fallback).plus(self.settings.start_delay);
        // Other domains take the slot over with a probability of 1/64 per planning round, so that
        // they rarely do so at the same time.
        let takes_over = late && rng.next_u64().is_multiple_of(64);
        if !assigned_here && !takes_over {
            return None;
        }
        let primary = roles.pick_least_loaded(view, slot, &[])?;
        let backup = roles.pick_least_loaded(view, slot, &[&primary]);
        let ownership = self.state(slot)?.ownership.as_ref();
        Some(self.empty_grant(now, slot, ownership, &primary, backup))
    }

    /// A grant whose primary has the claims of the previous grant.
    fn successor_grant(
        &self,
        now: clock::Millis,
        state: &slot_state::SlotState,
        ownership: &ownership::Ownership,
        grant: &grant::Grant,
        primary: &node::Node,
        backup: Option<node::Node>,
    ) -> grant::Grant {
        let ceiling = grant.ceiling.max(now.plus(self.settings.autonomy));
        grant::Grant {
            slot: grant.slot,
            prev: Some(ownership.epoch),
            domain: grant.domain.clone(),
            primary: primary.clone(),
            backup,
            floor: grant.floor.max(state.floor).min(ceiling),
            ceiling,
            history: history::History::Kept,
        }
    }

    /// A grant to members that begin without the earlier claims of the slot.
    ///
    /// Its floor is the previous ceiling, so that keys that may have been claimed never run.
    fn empty_grant(
        &self,
        now: clock::Millis,
        slot: slot::Slot,
        ownership: Option<&ownership::Ownership>,
        primary: &node::Node,
        backup: Option<node::Node>,
    ) -> grant::Grant {
        let floor = ownership.map_or(clock::Millis::ZERO, |ownership| ownership.ceiling);
        grant::Grant {
            slot,
            prev: ownership.map(|ownership| ownership.epoch),
            domain: self.domain.clone(),
            primary: primary.clone(),
            backup,
            floor,
            ceiling: floor.max(now.plus(self.settings.autonomy)),
            history: history::History::Lost,
        }
    }
}

/// The release of a slot, whose ceiling is the same each time the release is proposed again.
fn release(
    state: &slot_state::SlotState,
    ownership: &ownership::Ownership,
    grant: &grant::Grant,
) -> Proposal {
    let newest = state.newest_created.plus(clock::Millis(1)).max(state.floor);
    Proposal::Release(control_record::SlotRelease {
        slot: grant.slot,
        prev: ownership.epoch,
        ceiling: state.release_ceiling.unwrap_or(newest.min(grant.ceiling)),
    })
}
