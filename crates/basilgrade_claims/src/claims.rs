//! The state machine of one daemon.

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
use crate::safety_checks;
use crate::settings;
use crate::slot_state;

/// The claims of one daemon in all its roles.
///
/// The daemon calls [`Claims::observe`] after each read of stream `control`, [`Claims::receive`]
/// for each message, [`Claims::tick`] about every 50 ms, and carries out what
/// [`Claims::outputs`] returns after each of these calls.
#[derive(Debug)]
pub struct Claims {
    pub(crate) me: node::Node,
    pub(crate) domain: id::DomainId,
    pub(crate) settings: settings::Settings,
    pub(crate) safety: safety_checks::SafetyChecks,
    pub(crate) slots: Vec<slot_state::SlotState>,
    pub(crate) answers: answer_store::AnswerStore,
    pub(crate) attempts: IndexMap<attempt_id::AttemptId, entry_role::Attempt>,
    pub(crate) proposer: proposer::Proposer,
    pub(crate) local: VecDeque<message::Message>,
    pub(crate) outputs: VecDeque<output::Output>,
}

impl Claims {
    /// The state of a daemon that has just started.
    pub fn new(me: node::Node, domain: id::DomainId, settings: settings::Settings) -> Self {
        Self::with_safety_checks(me, domain, settings, safety_checks::SafetyChecks::default())
    }

    /// As [`Claims::new`], with some mechanisms disabled; for mutation tests only.
    #[doc(hidden)]
    pub fn with_safety_checks(
        me: node::Node,
        domain: id::DomainId,
        settings: settings::Settings,
        safety: safety_checks::SafetyChecks,
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
            local: VecDeque::new(),
            outputs: VecDeque::new(),
        }
    }

    /// This daemon's identity in grants.
    pub const fn node(&self) -> &node::Node {
        &self.me
    }

    /// Takes the actions that are due since the last call.
    pub fn outputs(&mut self) -> impl Iterator<Item = output::Output> {
        self.outputs.drain(..)
    }

    /// Takes note of the state of stream `control` before offset `next`.
    ///
    /// Call it with a fold that is current; a stale state is harmless but leads to proposals that
    /// cannot take effect.
    pub fn observe(
        &mut self,
        now: clock::Millis,
        state: &control_state::ControlState,
        next: offset::Offset,
    ) {
        for (slot, ownership) in state.slots() {
            self.adopt(now, slot, ownership);
        }
        self.proposer.read(next);
        self.run_local(now);
    }

    /// Handles a message from an authenticated daemon.
    pub fn receive(&mut self, now: clock::Millis, from: &node::Node, message: message::Message) {
        self.handle(now, from, message);
        self.run_local(now);
    }

    /// Does what is due: retransmissions, time-outs and proposals of grants.
    pub fn tick(
        &mut self,
        now: clock::Millis,
        view: &crate::cluster_view::ClusterView,
        rng: &mut dyn Rng,
    ) {
        self.tick_attempts(now);
        self.tick_primary(now);
        self.tick_backup(now);
        self.run_local(now);
        self.propose(now, view, rng);
    }

    /// The number of claims kept, over all slots and both roles.
    pub fn claim_count(&self) -> usize {
        self.slots.iter().map(|state| state.table.len()).sum()
    }

    /// Bytes of stored answers.
    pub const fn answer_bytes(&self) -> usize {
        self.answers.bytes()
    }

    /// The ownership that this daemon knows of `slot`.
    pub fn ownership(&self, slot: slot::Slot) -> Option<&ownership::Ownership> {
        self.state(slot)?.ownership.as_ref()
    }

    /// A slot in which a key minted now can be claimed: one of the own failure domain, preferably
    /// with this daemon as primary; `None` if the domain holds no usable slot.
    pub fn mint_slot(&self, now: clock::Millis, rng: &mut dyn Rng) -> Option<slot::Slot> {
        // Keys are used some time after they are minted, up to when the ceiling is next renewed.
        let usable = |state: &slot_state::SlotState| {
            state.grant().is_some_and(|grant| {
                grant.domain == self.domain
                    && state.releasing.is_none()
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

    /// As [`Claims::state`], to change it.
    pub(crate) fn state_mut(&mut self, slot: slot::Slot) -> Option<&mut slot_state::SlotState> {
        self.slots.get_mut(usize::from(slot.number()))
    }

    pub(crate) fn send(&mut self, to: &node::Node, message: message::Message) {
        if *to == self.me {
            self.local.push_back(message);
        } else {
            self.outputs.push_back(output::Output::Send {
                to: to.clone(),
                message,
            });
        }
    }

    /// Delivers the messages that this daemon sent to itself.
    pub(crate) fn run_local(&mut self, now: clock::Millis) {
        let me = self.me.clone();
        while let Some(message) = self.local.pop_front() {
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
            Message::Ownership { slot, ownership } => self.adopt(now, slot, &ownership),
            Message::Behind { slot } => self.tell(from, slot),
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

    /// Tells `to` what is in force for `slot`.
    pub(crate) fn tell(&mut self, to: &node::Node, slot: slot::Slot) {
        if let Some(ownership) = self.ownership(slot).cloned() {
            self.send(to, message::Message::Ownership { slot, ownership });
        }
    }

    /// Answers a message that was sent under `epoch` to the wrong member.
    pub(crate) fn redirect(&mut self, to: &node::Node, slot: slot::Slot, epoch: offset::Offset) {
        let known = self.ownership(slot).map(|ownership| ownership.epoch);
        match known {
            Some(known) if known > epoch => self.tell(to, slot),
            Some(known) if known == epoch => {}
            _ => self.send(to, message::Message::Behind { slot }),
        }
    }

    /// Takes an ownership into force if it is newer than the one known.
    fn adopt(&mut self, now: clock::Millis, slot: slot::Slot, ownership: &ownership::Ownership) {
        let is_old = |known: &ownership::Ownership| known.epoch >= ownership.epoch;
        if self.ownership(slot).is_some_and(is_old) {
            return;
        }
        let me = self.me.clone();
        let transfer_first = self.safety.transfer_first;
        let Some(state) = self.state_mut(slot) else {
            return;
        };
        let waiters: Vec<_> = state
            .pending
            .values()
            .filter_map(|pending| pending.waiter.clone())
            .collect();
        let kept = state.adopt(&me, ownership.clone());
        if !transfer_first {
            state.synced = state.pair();
        }
        if kept == slot_state::Kept::No {
            self.answers.remove_slot(slot);
            for waiter in waiters.iter().filter(|waiter| **waiter != me) {
                self.tell(waiter, slot);
            }
        } else {
            self.pair_changed(now, slot);
        }
        self.route_again(now, slot);
    }

    /// Raises the floor of `slot` and evicts the claims below it.
    pub(crate) fn raise_floor(&mut self, slot: slot::Slot, floor: clock::Millis) {
        let Some(state) = self.slots.get_mut(usize::from(slot.number())) else {
            return;
        };
        state.floor = state.floor.max(floor);
        while state
            .table
            .oldest()
            .is_some_and(|oldest| oldest < state.floor)
        {
            if let Some(key) = state.table.evict() {
                state.pending.swap_remove(&key);
                self.answers.remove(slot, key);
            }
        }
    }

    /// Evicts what is beyond the horizon of `slot` or the limit of the daemon.
    pub(crate) fn evict(&mut self, slot: slot::Slot) {
        if let Some(state) = self.state(slot) {
            let floor = state.newest - self.settings.horizon;
            if floor > state.floor {
                self.raise_floor(slot, floor);
            }
        }
        let mut count = self.claim_count();
        while count > self.settings.claim_limit {
            let oldest = slot::Slot::all()
                .filter_map(|slot| Some((self.state(slot)?.table.oldest()?, slot)))
                .min();
            let Some((oldest, slot)) = oldest else {
                break;
            };
            // A part of the key time at once, so that the search for the oldest slot is rare.
            let newest = self.state(slot).map_or(oldest, |state| state.newest);
            let step = clock::Millis((newest.since(oldest).0 / 64).max(1));
            self.raise_floor(slot, oldest.plus(step));
            count = self.claim_count();
        }
    }

    pub(crate) fn claim_from(&self, claim: &claim_key::ClaimKey) -> Option<&node::Node> {
        self.state(claim.key.slot())?
            .grant()
            .map(|grant| &grant.primary)
    }
}
