//! Recording claims for a primary.

use basilgrade_journal::node;
use basilgrade_types::clock;
use basilgrade_types::offset;
use basilgrade_types::slot;

use crate::claim_record;
use crate::claims;
use crate::message;
use crate::slot_state;

impl claims::Claims {
    pub(crate) fn on_replicate(
        &mut self,
        from: &node::Node,
        slot: slot::Slot,
        pair: offset::Offset,
        floor: clock::Millis,
        records: Vec<claim_record::ClaimRecord>,
    ) {
        if !self.accepts(from, slot, pair) {
            return;
        }
        let versions = records
            .iter()
            .map(|record| (record.key, record.claim.version))
            .collect();
        self.store(slot, floor, records);
        let synced = self
            .state(slot)
            .is_some_and(slot_state::SlotState::is_synced);
        let message = if synced {
            message::Message::Replicated {
                slot,
                pair,
                versions,
            }
        } else {
            message::Message::Unsynchronised { slot, pair }
        };
        self.send(from, message);
    }

    #[expect(clippy::too_many_arguments, reason = "the fields of one message")]
    pub(crate) fn on_transfer(
        &mut self,
        from: &node::Node,
        slot: slot::Slot,
        pair: offset::Offset,
        index: u32,
        floor: clock::Millis,
        records: Vec<claim_record::ClaimRecord>,
        last: bool,
    ) {
        if !self.accepts(from, slot, pair) {
            return;
        }
        let expected = self.state(slot).map_or(0, |state| state.expected);
        if index > expected {
            return;
        }
        self.store(slot, floor, records);
        if let Some(state) = self.state_mut(slot)
            && index == expected
            && !state.is_synced()
        {
            state.expected += 1;
            if last {
                state.synced = Some(pair);
            }
        }
        self.send(from, message::Message::Transferred { slot, pair, index });
    }

    /// Whether a message comes from the primary of the pair in force; if not, one side is told.
    fn accepts(&mut self, from: &node::Node, slot: slot::Slot, pair: offset::Offset) -> bool {
        let Some(state) = self.state(slot) else {
            return false;
        };
        match state.pair() {
            Some(known) if known == pair => state.is_primary(from) && state.is_backup(&self.me),
            Some(_) if !self.safety.pair_check => true,
            Some(known) if known > pair => {
                self.tell(from, slot);
                false
            }
            _ => {
                self.send(from, message::Message::Behind { slot });
                false
            }
        }
    }

    fn store(
        &mut self,
        slot: slot::Slot,
        floor: clock::Millis,
        records: Vec<claim_record::ClaimRecord>,
    ) {
        self.raise_floor(slot, floor);
        for record in records {
            let Some(state) = self.slots.get_mut(usize::from(slot.number())) else {
                return;
            };
            // Below the own floor the key never runs, so the claim need not be kept.
            if record.key.created() < state.floor {
                continue;
            }
            let newer = state
                .table
                .get(record.key)
                .is_none_or(|held| record.claim.version > held.version);
            if !newer && self.safety.version_order {
                continue;
            }
            state.newest = state.newest.max(record.key.created());
            state.table.put(record.key, record.claim);
            if let Some(answer) = record.answer {
                self.answers.put(slot, record.key, &answer);
            }
        }
        self.evict(slot);
    }

    /// Asks for missing claims, in case the primary believes that this backup has them.
    pub(crate) fn tick_backup(&mut self, now: clock::Millis) {
        for slot in slot::Slot::all() {
            let state = &mut self.slots[usize::from(slot.number())];
            if state.is_synced()
                || state.expected > 0
                || now < state.asked.plus(self.settings.resend_interval)
                || !state.is_backup(&self.me)
            {
                continue;
            }
            state.asked = now;
            let primary = state.grant().map(|grant| grant.primary.clone());
            if let (Some(primary), Some(pair)) = (primary, state.pair()) {
                self.send(&primary, message::Message::Unsynchronised { slot, pair });
            }
        }
    }
}
