//! Proposing grants.

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
use crate::placement;
use crate::slot_state;
use crate::sync;

/// Whether the daemon keeps its slots.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum Mode {
    /// It keeps them.
    #[default]
    Serving,
    /// It hands them over because it is shutting down.
    Draining,
}

/// A record whose effect is not known yet.
#[derive(Clone, Copy, Debug)]
struct Outstanding {
    id: Uuid,
    sent: clock::Millis,
    /// How long its effect is awaited.
    wait: clock::Millis,
    offset: Option<offset::Offset>,
}

/// Proposals of one daemon: at most one record under way.
#[derive(Debug, Default)]
pub(crate) struct Proposer {
    mode: Mode,
    outstanding: Option<Outstanding>,
    /// The control stream is known before this offset; `None` before the first read.
    next: Option<offset::Offset>,
    /// When the first tick with a known control stream was.
    started: Option<clock::Millis>,
    /// No proposal before this instant.
    not_before: clock::Millis,
}

impl Proposer {
    /// Notes that the control stream is known before `next`.
    pub(crate) fn read(&mut self, next: offset::Offset) {
        self.next = Some(next);
        let done =
            |outstanding: &Outstanding| outstanding.offset.is_some_and(|offset| next > offset);
        if self.outstanding.as_ref().is_some_and(done) {
            self.outstanding = None;
        }
    }
}

/// What to do about a slot.
enum Step {
    Grant(grant::Grant),
    Release(control_record::SlotRelease),
}

impl claims::Claims {
    /// Reports the answer to an append.
    ///
    /// After an unknown answer nothing is repeated: the next proposal is made from what the stream
    /// then says, and has no effect if the earlier one had.
    pub fn appended(&mut self, id: Uuid, appended: publication::Appended) {
        let Some(outstanding) = &mut self.proposer.outstanding else {
            return;
        };
        if outstanding.id != id {
            return;
        }
        match appended {
            publication::Appended::At(offset) => {
                outstanding.offset = Some(offset);
                if self.proposer.next.is_some_and(|next| next > offset) {
                    self.proposer.outstanding = None;
                }
            }
            publication::Appended::Refused => outstanding.wait = self.settings.resend_interval,
            publication::Appended::Unknown => {}
        }
    }

    /// Begins to hand over all slots; see [`claims::Claims::is_drained`].
    pub fn drain(&mut self) {
        self.proposer.mode = Mode::Draining;
    }

    /// Whether this daemon is a member of no pair, and all ends of calls are recorded.
    pub fn is_drained(&self) -> bool {
        self.attempts.is_empty()
            && !self
                .slots
                .iter()
                .filter_map(slot_state::SlotState::grant)
                .any(|grant| grant.has_member(&self.me))
    }

    pub(crate) fn propose(
        &mut self,
        now: clock::Millis,
        view: &cluster_view::ClusterView,
        rng: &mut dyn Rng,
    ) {
        if self.proposer.next.is_none() {
            return;
        }
        let started = *self.proposer.started.get_or_insert(now);
        if let Some(outstanding) = self.proposer.outstanding
            && now < outstanding.sent.plus(outstanding.wait)
        {
            return;
        }
        if let Some(outstanding) = self.proposer.outstanding.take() {
            // The log is slow or down: all daemons wait a random time before they try again, so
            // that its return does not bring all their records at once.
            let spread = outstanding.wait.0.max(1);
            self.proposer.not_before = now.plus(clock::Millis(rng.next_u64() % spread));
        }
        if now < self.proposer.not_before {
            return;
        }
        self.proposer.not_before = now.plus(self.settings.plan_interval);
        let (grants, slots) = self.plan(now, started, view, rng);
        let id = Uuid::from_u128(u128::from(rng.next_u64()) << 64 | u128::from(rng.next_u64()));
        let record = if !grants.is_empty() {
            control_record::ControlRecord::Grants { id, grants }
        } else if !slots.is_empty() {
            for release in &slots {
                if let Some(state) = self.state_mut(release.slot) {
                    state.releasing = Some(release.ceiling);
                }
            }
            control_record::ControlRecord::Release { id, slots }
        } else {
            return;
        };
        self.proposer.outstanding = Some(Outstanding {
            id,
            sent: now,
            wait: self.settings.append_timeout,
            offset: None,
        });
        self.outputs.push_back(output::Output::Append {
            id,
            body: encode::line(&record),
        });
    }

    /// The grants and releases that are due.
    fn plan(
        &mut self,
        now: clock::Millis,
        started: clock::Millis,
        view: &cluster_view::ClusterView,
        rng: &mut dyn Rng,
    ) -> (Vec<grant::Grant>, Vec<control_record::SlotRelease>) {
        let mut roles = placement::Roles::count(&self.slots);
        let mut shares = placement::Shares::count(view, &self.slots);
        let mut excess = shares.excess(&self.domain);
        let mut grants = Vec::new();
        let mut releases = Vec::new();
        let renewing = slot::Slot::all().any(|slot| self.renewal_due(now, slot, 4));
        for slot in slot::Slot::all() {
            // Slots with the highest numbers are given up first, by whichever primaries hold them.
            let surplus = excess > 0 && self.is_surplus(slot, excess);
            let step = if self.is_member(slot) {
                self.member_step(now, slot, view, &roles, surplus, renewing)
            } else {
                self.unowned_step(now, started, slot, view, &roles, &mut shares, rng)
                    .map(Step::Grant)
            };
            match step {
                Some(Step::Grant(grant)) => {
                    roles.add(&grant.primary);
                    if let Some(backup) = &grant.backup {
                        roles.add(backup);
                    }
                    grants.push(grant);
                }
                Some(Step::Release(release)) => {
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

    /// Whether `slot` is among the `excess` slots with the highest numbers of the own domain.
    fn is_surplus(&self, slot: slot::Slot, excess: usize) -> bool {
        let above = self.slots[usize::from(slot.number())..]
            .iter()
            .skip(1)
            .filter_map(slot_state::SlotState::grant)
            .filter(|grant| grant.domain == self.domain)
            .count();
        above < excess
    }

    /// Whether this daemon is primary and less than `sixths` sixths of the autonomy are left.
    ///
    /// Four sixths: a renewal every third of the autonomy.
    fn renewal_due(&self, now: clock::Millis, slot: slot::Slot, sixths: u64) -> bool {
        self.state(slot).is_some_and(|state| {
            state.is_primary(&self.me)
                && state.grant().is_some_and(|grant| {
                    grant.ceiling < now.plus(clock::Millis(self.settings.autonomy.0 * sixths / 6))
                })
        })
    }

    fn member_step(
        &self,
        now: clock::Millis,
        slot: slot::Slot,
        view: &cluster_view::ClusterView,
        roles: &placement::Roles,
        surplus: bool,
        renewing: bool,
    ) -> Option<Step> {
        let state = self.state(slot)?;
        let ownership = state.ownership.as_ref()?;
        let grant = ownership.grant.as_ref()?;
        let pick = |except: &[&node::Node]| roles.pick(view, slot, except);
        let successor = |primary: &node::Node, backup| {
            Some(Step::Grant(
                self.kept(now, state, ownership, grant, primary, backup),
            ))
        };
        if !state.is_synced() {
            // A member without all claims counts as lost; it acts when the other one is lost too.
            let alone = grant
                .other(&self.me)
                .is_none_or(|other| view.is_dead(other));
            let primary = grant.primary == self.me;
            return (primary || alone)
                .then(|| self.lost(now, slot, Some(ownership), &self.me, pick(&[&self.me])))
                .map(Step::Grant);
        }
        if grant.primary != self.me {
            return view
                .is_dead(&grant.primary)
                .then(|| successor(&self.me, pick(&[&self.me, &grant.primary])))?;
        }
        if state.releasing.is_some() {
            return Some(release(state, ownership, grant));
        }
        let usable = grant.backup.as_ref().filter(|backup| !view.is_dead(backup));
        if self.proposer.mode == Mode::Draining {
            return match usable {
                Some(backup) if matches!(state.backup, sync::Sync::Complete) => {
                    successor(backup, pick(&[&self.me, backup]))
                }
                // The claims are still being sent to the backup.
                Some(_) => None,
                None => match pick(&[&self.me]) {
                    Some(backup) => successor(&self.me, Some(backup)),
                    None => Some(release(state, ownership, grant)),
                },
            };
        }
        if surplus {
            return Some(release(state, ownership, grant));
        }
        match usable {
            Some(backup) if view.leaving.contains(backup) => {
                let other = pick(&[&self.me, backup]);
                if other.is_some() {
                    return successor(&self.me, other);
                }
            }
            Some(_) => {}
            None => {
                let other = pick(&[&self.me]);
                if other.is_some() || grant.backup.is_some() {
                    return successor(&self.me, other);
                }
            }
        }
        // All slots whose renewal comes up soon share one record.
        (renewing && self.renewal_due(now, slot, 5))
            .then(|| successor(&self.me, grant.backup.clone()))?
    }

    #[expect(clippy::too_many_arguments, reason = "the parts of one proposal")]
    fn unowned_step(
        &mut self,
        now: clock::Millis,
        started: clock::Millis,
        slot: slot::Slot,
        view: &cluster_view::ClusterView,
        roles: &placement::Roles,
        shares: &mut placement::Shares,
        rng: &mut dyn Rng,
    ) -> Option<grant::Grant> {
        let fallback = self.settings.fallback_delay;
        let grant = self.state(slot)?.grant();
        let own = grant.is_some_and(|grant| grant.domain == self.domain);
        let vacant = grant.is_none_or(|grant| {
            let lost = view.is_dead(&grant.primary)
                && grant.backup.as_ref().is_none_or(|node| view.is_dead(node));
            // A foreign domain may only be out of reach and still serve the slot, which it cannot
            // do beyond the ceiling.
            lost && (own || now >= grant.ceiling.plus(fallback))
        });
        if !vacant {
            self.state_mut(slot)?.unowned = None;
            return None;
        }
        let since = *self.state_mut(slot)?.unowned.get_or_insert(now);
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
        let mine = assigned.as_ref() == Some(&self.domain);
        let late = now >= since.plus(fallback).plus(self.settings.start_delay);
        // Others step in one at a time and at random, a slot in about 64 ticks.
        let stepping_in = late && rng.next_u64().is_multiple_of(64);
        if !mine && !stepping_in {
            return None;
        }
        let primary = roles.pick(view, slot, &[])?;
        let backup = roles.pick(view, slot, &[&primary]);
        let ownership = self.state(slot)?.ownership.as_ref();
        Some(self.lost(now, slot, ownership, &primary, backup))
    }

    /// A grant whose primary has the claims.
    fn kept(
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

    /// A grant that begins without claims.
    fn lost(
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

/// The release of a slot; its ceiling stays the same while it is proposed again.
fn release(
    state: &slot_state::SlotState,
    ownership: &ownership::Ownership,
    grant: &grant::Grant,
) -> Step {
    let newest = state.newest.plus(clock::Millis(1)).max(state.floor);
    Step::Release(control_record::SlotRelease {
        slot: grant.slot,
        prev: ownership.epoch,
        ceiling: state.releasing.unwrap_or(newest.min(grant.ceiling)),
    })
}
