//! The claims state machine of one daemon.

use std::collections::VecDeque;

use basilgrade_journal::control_state;
use basilgrade_journal::node;
use basilgrade_journal::ownership;
use basilgrade_types::clock;
use basilgrade_types::id;
use basilgrade_types::offset;
use basilgrade_types::slot;
use indexmap::IndexMap;
use rand::Rng;

use crate::answer_store;
use crate::attempt_id;
use crate::claim_key;
use crate::entry_role;
use crate::message;
use crate::output;
use crate::proposer;
use crate::safety;
use crate::settings;
use crate::slot_state;

/// The claims state machine of one daemon as entry daemon, primary and backup.
///
/// The key space is divided into slots. The log stream `control` grants each slot to a pair of
/// daemons: the primary decides claims and the backup records them.
///
/// The daemon calls [`Claims::observe`] after each read of stream `control`, [`Claims::receive`]
/// for each message and [`Claims::tick`] about every 50 ms. After each of these calls it carries
/// out the actions that [`Claims::outputs`] returns.
#[derive(Debug)]
pub struct Claims {
    /// This daemon.
    pub(crate) me: node::Node,
    pub(crate) domain: id::DomainId,
    pub(crate) settings: settings::Settings,
    pub(crate) safety: safety::SafetyChecks,
    pub(crate) slots: Vec<slot_state::SlotState>,
    pub(crate) answers: answer_store::AnswerStore,
    pub(crate) attempts: IndexMap<attempt_id::AttemptId, entry_role::Attempt>,
    pub(crate) proposer: proposer::Proposer,
    /// Messages from this daemon to itself.
    pub(crate) loopback: VecDeque<message::Message>,
    pub(crate) outputs: VecDeque<output::Output>,
}

impl Claims {
    /// The state of a daemon that has just started.
    pub fn new(me: node::Node, domain: id::DomainId, settings: settings::Settings) -> Self {
        Self::with_safety_checks(me, domain, settings, safety::SafetyChecks::default())
    }

    /// Like [`Claims::new`], but with some safety mechanisms disabled; for mutation tests only.
    #[doc(hidden)]
    pub fn with_safety_checks(
        me: node::Node,
        domain: id::DomainId,
        settings: settings::Settings,
        safety: safety::SafetyChecks,
    ) -> Self {
        Self {
            me,
            domain,
            settings,
            safety,
            slots: slot::Slot::all()
                .map(|_| slot_state::SlotState::default())
                .collect(),
            answers: answer_store::AnswerStore::new(settings.answer_bytes),
            attempts: IndexMap::new(),
            proposer: proposer::Proposer::default(),
            loopback: VecDeque::new(),
            outputs: VecDeque::new(),
        }
    }

    /// The identity of this daemon in grants.
    pub const fn node(&self) -> &node::Node {
        &self.me
    }

    /// Removes and returns the actions that were requested since the last call.
    pub fn outputs(&mut self) -> impl Iterator<Item = output::Output> {
        self.outputs.drain(..)
    }

    /// Applies the state of stream `control` up to offset `next`, exclusive.
    ///
    /// The state should be current. A stale state is safe, but leads to proposals that cannot take
    /// effect.
    pub fn observe(
        &mut self,
        now: clock::Millis,
        state: &control_state::ControlState,
        next: offset::Offset,
    ) {
        for (slot, ownership) in state.slots() {
            self.apply_ownership(now, slot, ownership);
        }
        self.proposer.note_read(next);
        self.deliver_loopback(now);
    }

    /// Handles a message from daemon `from`, which the caller has authenticated.
    pub fn receive(&mut self, now: clock::Millis, from: &node::Node, message: message::Message) {
        self.handle(now, from, message);
        self.deliver_loopback(now);
    }

    /// Performs the retransmissions, timeouts and proposals of grants that are due.
    pub fn tick(
        &mut self,
        now: clock::Millis,
        view: &crate::cluster_view::ClusterView,
        rng: &mut dyn Rng,
    ) {
        self.tick_attempts(now);
        self.tick_primary(now);
        self.tick_backup(now);
        self.deliver_loopback(now);
        self.propose(now, view, rng);
    }

    /// The number of claims in the tables of all slots, as primary and as backup.
    pub fn claim_count(&self) -> usize {
        self.slots.iter().map(|state| state.table.len()).sum()
    }

    /// The total size of the stored answers, in bytes.
    pub const fn answer_bytes(&self) -> usize {
        self.answers.bytes()
    }

    /// The newest ownership of `slot` that this daemon knows.
    pub fn ownership(&self, slot: slot::Slot) -> Option<&ownership::Ownership> {
        self.state(slot)?.ownership.as_ref()
    }

    /// A random slot in which a key created now can be claimed: one that this daemon's failure
    /// domain owns, preferably with this daemon as primary. `None` if the domain owns no such slot.
    pub fn mint_slot(&self, now: clock::Millis, rng: &mut dyn Rng) -> Option<slot::Slot> {
        // The key is created at `now`, so it can be claimed if `now` is at or above the floors and
        // below the ceiling.
        let usable = |state: &slot_state::SlotState| {
            state.grant().is_some_and(|grant| {
                grant.domain == self.domain
                    && state.release_ceiling.is_none()
                    && state.floor <= now
                    && grant.floor <= now
                    && grant.ceiling > now
            })
        };
        let slots: Vec<_> = slot::Slot::all()
            .filter(|slot| self.state(*slot).is_some_and(usable))
            .collect();
        let own: Vec<_> = slots
            .iter()
            .copied()
            .filter(|slot| {
                self.state(*slot)
                    .is_some_and(|state| state.is_primary(&self.me) && state.is_synced())
            })
            .collect();
        let pool = if own.is_empty() { &slots } else { &own };
        let index = rng.next_u64().checked_rem(pool.len() as u64)?;
        pool.get(index as usize).copied()
    }

    /// The state of `slot`; `None` if a message named a slot that does not exist.
    pub(crate) fn state(&self, slot: slot::Slot) -> Option<&slot_state::SlotState> {
        self.slots.get(usize::from(slot.number()))
    }

    /// Like [`Claims::state`], but mutable.
    pub(crate) fn state_mut(&mut self, slot: slot::Slot) -> Option<&mut slot_state::SlotState> {
        self.slots.get_mut(usize::from(slot.number()))
    }

    /// Queues a message; one to this daemon itself is delivered by [`Claims::deliver_loopback`].
    pub(crate) fn send(&mut self, to: &node::Node, message: message::Message) {
        if *to == self.me {
            self.loopback.push_back(message);
        } else {
            self.outputs.push_back(output::Output::Send {
                to: to.clone(),
                message,
            });
        }
    }

    /// Handles the messages that this daemon has sent to itself.
    pub(crate) fn deliver_loopback(&mut self, now: clock::Millis) {
        let me = self.me.clone();
        while let Some(message) = self.loopback.pop_front() {
            self.handle(now, &me, message);
        }
    }

    fn handle(&mut self, now: clock::Millis, from: &node::Node, message: message::Message) {
        use message::Message;
        match message {
            Message::Claim {
                claim,
                fingerprint,
                attempt,
                epoch,
            } => self.on_claim(now, from, &claim, fingerprint, attempt, epoch),
            Message::Decided { attempt, decision } => self.on_decided(now, attempt, decision),
            Message::Settle {
                claim,
                attempt,
                settlement,
                epoch,
            } => self.on_settle(now, from, &claim, attempt, settlement, epoch),
            Message::Settled { attempt } => self.on_settled(attempt),
            Message::Ownership { slot, ownership } => self.apply_ownership(now, slot, &ownership),
            Message::Behind { slot } => self.send_ownership(from, slot),
            Message::Replicate {
                slot,
                pair,
                floor,
                records,
            } => self.on_replicate(from, slot, pair, floor, records),
            Message::Replicated {
                slot,
                pair,
                versions,
            } => self.on_replicated(from, slot, pair, &versions),
            Message::Unsynchronised { slot, pair } => {
                self.on_unsynchronised(now, from, slot, pair);
            }
            Message::Transfer {
                slot,
                pair,
                index,
                floor,
                records,
                last,
            } => self.on_transfer(from, slot, pair, index, floor, records, last),
            Message::Transferred { slot, pair, index } => {
                self.on_transferred(now, from, slot, pair, index);
            }
        }
    }

    /// Sends `to` the newest known ownership of `slot`.
    pub(crate) fn send_ownership(&mut self, to: &node::Node, slot: slot::Slot) {
        if let Some(ownership) = self.ownership(slot).cloned() {
            self.send(to, message::Message::Ownership { slot, ownership });
        }
    }

    /// Answers a message that was sent under `epoch` to a daemon that is not the primary of `slot`.
    ///
    /// Sends the known ownership if it is newer than `epoch`, and asks for the newest one if it is
    /// older.
    pub(crate) fn redirect(&mut self, to: &node::Node, slot: slot::Slot, epoch: offset::Offset) {
        let known = self.ownership(slot).map(|ownership| ownership.epoch);
        match known {
            Some(known) if known > epoch => self.send_ownership(to, slot),
            Some(known) if known == epoch => {}
            _ => self.send(to, message::Message::Behind { slot }),
        }
    }

    /// Replaces the known ownership of `slot` if `ownership` has a newer epoch.
    fn apply_ownership(
        &mut self,
        now: clock::Millis,
        slot: slot::Slot,
        ownership: &ownership::Ownership,
    ) {
        let is_current = |known: &ownership::Ownership| known.epoch >= ownership.epoch;
        if self.ownership(slot).is_some_and(is_current) {
            return;
        }
        let me = self.me.clone();
        let transfer_first = self.safety.transfer_first;
        let Some(state) = self.state_mut(slot) else {
            return;
        };
        let waiters: Vec<_> = state
            .pending_changes
            .values()
            .filter_map(|pending| pending.waiter.clone())
            .collect();
        let retained = state.apply_ownership(&me, ownership.clone());
        if !transfer_first {
            state.synced_pair = state.pair();
        }
        if retained == slot_state::Retained::Nothing {
            self.answers.remove_slot(slot);
            for waiter in waiters.iter().filter(|waiter| **waiter != me) {
                self.send_ownership(waiter, slot);
            }
        } else {
            self.on_pair_changed(now, slot);
        }
        self.resend_claims(now, slot);
    }

    /// Raises the floor of `slot`, below which no new key is granted, and evicts the claims on keys
    /// created before the floor.
    pub(crate) fn raise_floor(&mut self, slot: slot::Slot, floor: clock::Millis) {
        let Some(state) = self.slots.get_mut(usize::from(slot.number())) else {
            return;
        };
        state.floor = state.floor.max(floor);
        while state
            .table
            .oldest_created()
            .is_some_and(|oldest| oldest < state.floor)
        {
            if let Some(key) = state.table.pop_oldest() {
                state.pending_changes.swap_remove(&key);
                self.answers.remove(slot, key);
            }
        }
    }

    /// Evicts claims of `slot` that are older than the horizon, and the oldest claims of any slot
    /// while the daemon has more claims than its limit.
    pub(crate) fn evict_excess(&mut self, slot: slot::Slot) {
        if let Some(state) = self.state(slot) {
            let floor = state.newest_created - self.settings.horizon;
            if floor > state.floor {
                self.raise_floor(slot, floor);
            }
        }
        let mut count = self.claim_count();
        while count > self.settings.claim_limit {
            let oldest = slot::Slot::all()
                .filter_map(|slot| Some((self.state(slot)?.table.oldest_created()?, slot)))
                .min();
            let Some((oldest, slot)) = oldest else {
                break;
            };
            // Each step evicts 1/64 of the slot's range of creation times, so that the search for
            // the slot with the oldest key is rare.
            let newest = self
                .state(slot)
                .map_or(oldest, |state| state.newest_created);
            let step = clock::Millis((newest.since(oldest).0 / 64).max(1));
            self.raise_floor(slot, oldest.plus(step));
            count = self.claim_count();
        }
    }

    /// The primary of the slot that the claim's key belongs to.
    pub(crate) fn primary_of(&self, claim: &claim_key::ClaimKey) -> Option<&node::Node> {
        self.state(claim.key.slot())?
            .grant()
            .map(|grant| &grant.primary)
    }
}
