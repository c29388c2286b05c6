//! The backup's role: recording the claims of a slot for its primary.

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
        if !self.accepts_from(from, slot, pair) {
            return;
        }
        let versions = records
            .iter()
            .map(|record| (record.key, record.claim.version))
            .collect();
        self.store_records(slot, floor, records);
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

    #[expect(clippy::too_many_arguments, reason = "fields of one message")]
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
        if !self.accepts_from(from, slot, pair) {
            return;
        }
        let expected = self.state(slot).map_or(0, |state| state.expected_part);
        if index > expected {
            return;
        }
        self.store_records(slot, floor, records);
        if let Some(state) = self.state_mut(slot)
            && index == expected
            && !state.is_synced()
        {
            state.expected_part += 1;
            if last {
                state.synced_pair = Some(pair);
            }
        }
        self.send(from, message::Message::Transferred { slot, pair, index });
    }

    /// Whether a message comes from the primary of the current pair, with this daemon as backup.
    ///
    /// If `pair` is not the current one, the newest ownership is sent to `from`, or requested from
    /// `from` if only older pairs are known.
    fn accepts_from(&mut self, from: &node::Node, slot: slot::Slot, pair: offset::Offset) -> bool {
        let Some(state) = self.state(slot) else {
            return false;
        };
        match state.pair() {
            Some(known) if known == pair => state.is_primary(from) && state.is_backup(&self.me),
            Some(_) if !self.safety.pair_check => true,
            Some(known) if known > pair => {
                self.send_ownership(from, slot);
                false
            }
            _ => {
                self.send(from, message::Message::Behind { slot });
                false
            }
        }
    }

    fn store_records(
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
            // A key created before the floor is never granted, so its claim is not needed.
            if record.key.created() < state.floor {
                continue;
            }
            let newer = state
                .table
                .get(record.key)
                .is_none_or(|existing| record.claim.version > existing.version);
            if !newer && self.safety.version_order {
                continue;
            }
            state.newest_created = state.newest_created.max(record.key.created());
            state.table.put(record.key, record.claim);
            if let Some(answer) = record.answer {
                self.answers.put(slot, record.key, &answer);
            }
        }
        self.evict_excess(slot);
    }

    /// Tells the primary that this backup lacks claims, in case the primary assumes that the backup
    /// has them all.
    pub(crate) fn tick_backup(&mut self, now: clock::Millis) {
        for slot in slot::Slot::all() {
            let state = &mut self.slots[usize::from(slot.number())];
            if state.is_synced()
                || state.expected_part > 0
                || now < state.sync_requested.plus(self.settings.resend_after)
                || !state.is_backup(&self.me)
            {
                continue;
            }
            state.sync_requested = now;
            let primary = state.grant().map(|grant| grant.primary.clone());
            if let (Some(primary), Some(pair)) = (primary, state.pair()) {
                self.send(&primary, message::Message::Unsynchronised { slot, pair });
            }
        }
    }
}
