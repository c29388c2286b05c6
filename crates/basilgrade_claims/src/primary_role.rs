//! Deciding claims and replicating them to the backup.

use basilgrade_journal::node;
use basilgrade_types::clock;
use basilgrade_types::offset;
use basilgrade_types::slot;

use crate::attempt_id;
use crate::claim_key;
use crate::claim_record;
use crate::claims;
use crate::decision;
use crate::fingerprint;
use crate::message;
use crate::pending;
use crate::settlement;
use crate::sync;

/// The most bytes of records in one message; a quarter of the frame limit of 1 MiB.
const BATCH_BYTES: usize = 256 << 10;

impl claims::Claims {
    pub(crate) fn on_claim(
        &mut self,
        now: clock::Millis,
        from: &node::Node,
        claim: &claim_key::ClaimKey,
        fingerprint: fingerprint::Fingerprint,
        attempt: attempt_id::AttemptId,
        epoch: offset::Offset,
    ) {
        let slot = claim.key.slot();
        let key = claim_key::TableKey::from(claim);
        let Some(state) = self.state(slot) else {
            return;
        };
        if !state.is_primary(&self.me) {
            self.redirect(from, slot, epoch);
            return;
        }
        if !state.is_synced() || state.releasing.is_some() {
            self.decide(
                from,
                attempt,
                decision::Decision::NotRun(decision::Refusal::NoOwner),
            );
            return;
        }
        match state.table.get(key).copied() {
            Some(held) if held.stage == claim_record::ClaimStage::Released => {
                match held.version.checked_add(1) {
                    _ if held.attempt == attempt => {
                        self.decide(
                            from,
                            attempt,
                            decision::Decision::NotRun(decision::Refusal::Released),
                        );
                    }
                    Some(version) => {
                        self.record(now, from, slot, key, fingerprint, attempt, version);
                    }
                    None => self.decide(from, attempt, decision::Decision::MayHaveRun),
                }
            }
            Some(held) => self.repeat(from, slot, key, &held, fingerprint, attempt),
            None => match self.admit(slot, key) {
                Ok(()) => self.record(now, from, slot, key, fingerprint, attempt, 1),
                Err(decision) => self.decide(from, attempt, decision),
            },
        }
    }

    /// Whether a key without a claim may be claimed.
    fn admit(&self, slot: slot::Slot, key: claim_key::TableKey) -> Result<(), decision::Decision> {
        let Some((state, grant)) = self
            .state(slot)
            .and_then(|state| Some((state, state.grant()?)))
        else {
            return Err(decision::Decision::NotRun(decision::Refusal::NoOwner));
        };
        if self.safety.floor_check && key.created() < state.floor {
            return Err(decision::Decision::MayHaveRun);
        }
        if self.safety.ceiling_check && key.created() >= grant.ceiling {
            return Err(decision::Decision::NotRun(decision::Refusal::Ahead));
        }
        if state.pending.len() >= self.settings.pending_limit {
            return Err(decision::Decision::NotRun(decision::Refusal::Busy));
        }
        Ok(())
    }

    #[expect(clippy::too_many_arguments, reason = "the parts of one claim")]
    fn record(
        &mut self,
        now: clock::Millis,
        from: &node::Node,
        slot: slot::Slot,
        key: claim_key::TableKey,
        fingerprint: fingerprint::Fingerprint,
        attempt: attempt_id::AttemptId,
        version: u32,
    ) {
        let claim = claim_record::Claim {
            fingerprint,
            attempt,
            version,
            stage: claim_record::ClaimStage::Claimed,
        };
        self.change(now, slot, key, claim, from);
    }

    /// Answers a claim on a key that is claimed or has run.
    fn repeat(
        &mut self,
        from: &node::Node,
        slot: slot::Slot,
        key: claim_key::TableKey,
        held: &claim_record::Claim,
        fingerprint: fingerprint::Fingerprint,
        attempt: attempt_id::AttemptId,
    ) {
        let decision = if held.fingerprint != fingerprint {
            decision::Decision::Mismatch
        } else if held.stage == claim_record::ClaimStage::Finished {
            self.answers
                .get(slot, key)
                .map_or(decision::Decision::MayHaveRun, |answer| {
                    decision::Decision::Answered(answer.clone())
                })
        } else if held.attempt != attempt {
            decision::Decision::MayHaveRun
        } else {
            let pending = self
                .state_mut(slot)
                .and_then(|state| state.pending.get_mut(&key));
            if let Some(pending) = pending {
                pending.waiter = Some(from.clone());
                return;
            }
            decision::Decision::Granted
        };
        self.decide(from, attempt, decision);
    }

    pub(crate) fn on_settle(
        &mut self,
        now: clock::Millis,
        from: &node::Node,
        claim: &claim_key::ClaimKey,
        attempt: attempt_id::AttemptId,
        settlement: settlement::Settlement,
        epoch: offset::Offset,
    ) {
        let slot = claim.key.slot();
        let key = claim_key::TableKey::from(claim);
        let Some(state) = self.state(slot) else {
            return;
        };
        if !state.is_primary(&self.me) {
            self.redirect(from, slot, epoch);
            return;
        }
        if !state.is_synced() {
            return;
        }
        let held = state.table.get(key).copied();
        let released = settlement == settlement::Settlement::Released;
        let settled = match held {
            Some(held)
                if held.stage == claim_record::ClaimStage::Claimed
                    && held.version < u32::MAX
                    && (held.attempt == attempt || !self.safety.attempt_match) =>
            {
                Some(claim_record::Claim {
                    version: held.version + 1,
                    stage: if released {
                        claim_record::ClaimStage::Released
                    } else {
                        claim_record::ClaimStage::Finished
                    },
                    ..held
                })
            }
            // The release overtook the claim, which is refused when it arrives.
            None if released && self.admit(slot, key).is_ok() => Some(claim_record::Claim {
                fingerprint: fingerprint::Fingerprint::UNKNOWN,
                attempt,
                version: 1,
                stage: claim_record::ClaimStage::Released,
            }),
            _ => None,
        };
        let Some(settled) = settled else {
            self.send(from, message::Message::Settled { attempt });
            return;
        };
        if let settlement::Settlement::Finished(Some(answer)) = settlement
            && answer.len() <= settlement::ANSWER_LIMIT
        {
            self.answers.put(slot, key, &answer);
        }
        self.change(now, slot, key, settled, from);
    }

    /// Records a change of a claim, and answers `waiter` once the backup has it.
    fn change(
        &mut self,
        now: clock::Millis,
        slot: slot::Slot,
        key: claim_key::TableKey,
        claim: claim_record::Claim,
        waiter: &node::Node,
    ) {
        let wait =
            self.safety.backup_acknowledgement || claim.stage != claim_record::ClaimStage::Claimed;
        let Some(state) = self.state_mut(slot) else {
            return;
        };
        state.newest = state.newest.max(key.created());
        state.table.put(key, claim);
        let Some(backup) = state.grant().and_then(|grant| grant.backup.clone()) else {
            self.acknowledge(waiter, &claim);
            self.evict(slot);
            return;
        };
        state.pending.insert(
            key,
            pending::Pending {
                version: claim.version,
                waiter: wait.then(|| waiter.clone()),
                sent: now,
            },
        );
        // During a transfer the change waits for its end: the backup acknowledges nothing before.
        if matches!(state.backup, sync::Sync::Complete) {
            let record = self.to_record(slot, key, claim);
            self.replicate(&backup, slot, vec![record]);
        }
        if !wait {
            self.acknowledge(waiter, &claim);
        }
        self.evict(slot);
    }

    /// Tells an entry daemon that a change of its claim is recorded by both members.
    fn acknowledge(&mut self, waiter: &node::Node, claim: &claim_record::Claim) {
        let attempt = claim.attempt;
        if claim.stage == claim_record::ClaimStage::Claimed {
            self.decide(waiter, attempt, decision::Decision::Granted);
        } else {
            self.send(waiter, message::Message::Settled { attempt });
        }
    }

    fn decide(
        &mut self,
        to: &node::Node,
        attempt: attempt_id::AttemptId,
        decision: decision::Decision,
    ) {
        self.send(to, message::Message::Decided { attempt, decision });
    }

    fn to_record(
        &self,
        slot: slot::Slot,
        key: claim_key::TableKey,
        claim: claim_record::Claim,
    ) -> claim_record::ClaimRecord {
        claim_record::ClaimRecord {
            key,
            claim,
            answer: self.answers.get(slot, key).cloned(),
        }
    }

    fn replicate(
        &mut self,
        to: &node::Node,
        slot: slot::Slot,
        records: Vec<claim_record::ClaimRecord>,
    ) {
        let Some(state) = self.state(slot) else {
            return;
        };
        let Some(pair) = state.pair() else {
            return;
        };
        let floor = state.floor;
        self.send(
            to,
            message::Message::Replicate {
                slot,
                pair,
                floor,
                records,
            },
        );
    }

    /// Whether a message from `from` about `pair` comes from the backup of this primary.
    fn is_from_backup(&self, from: &node::Node, slot: slot::Slot, pair: offset::Offset) -> bool {
        self.state(slot).is_some_and(|state| {
            state.is_primary(&self.me)
                && (!self.safety.pair_check
                    || (state.is_backup(from) && state.pair() == Some(pair)))
        })
    }

    pub(crate) fn on_replicated(
        &mut self,
        from: &node::Node,
        slot: slot::Slot,
        pair: offset::Offset,
        versions: &[(claim_key::TableKey, u32)],
    ) {
        if !self.is_from_backup(from, slot, pair) {
            return;
        }
        for (key, version) in versions {
            let Some(state) = self.state_mut(slot) else {
                return;
            };
            if state.pending.get(key).map(|pending| pending.version) != Some(*version) {
                continue;
            }
            let pending = state.pending.swap_remove(key);
            let claim = state.table.get(*key).copied();
            if let (Some(waiter), Some(claim)) = (pending.and_then(|pending| pending.waiter), claim)
            {
                self.acknowledge(&waiter, &claim);
            }
        }
    }

    pub(crate) fn on_unsynchronised(
        &mut self,
        now: clock::Millis,
        from: &node::Node,
        slot: slot::Slot,
        pair: offset::Offset,
    ) {
        if !self.is_from_backup(from, slot, pair) {
            return;
        }
        if let Some(state) = self.state_mut(slot)
            && matches!(state.backup, sync::Sync::Complete)
        {
            state.backup = sync::Sync::START;
            self.transfer(now, slot);
        }
    }

    pub(crate) fn on_transferred(
        &mut self,
        now: clock::Millis,
        from: &node::Node,
        slot: slot::Slot,
        pair: offset::Offset,
        index: u32,
    ) {
        if !self.is_from_backup(from, slot, pair) {
            return;
        }
        let Some(state) = self.state_mut(slot) else {
            return;
        };
        let sync::Sync::Transferring {
            index: current,
            cut: Some(cut),
            ..
        } = state.backup
        else {
            return;
        };
        if current != index {
            return;
        }
        if cut.last {
            state.backup = sync::Sync::Complete;
            self.resend(now, slot, clock::Millis::ZERO);
        } else {
            state.backup = sync::Sync::Transferring {
                index: index + 1,
                start: cut.end,
                cut: None,
                sent: now,
            };
            self.transfer(now, slot);
        }
    }

    /// Sends the part of the table that is under way.
    fn transfer(&mut self, now: clock::Millis, slot: slot::Slot) {
        let Some(state) = self.state(slot) else {
            return;
        };
        let (Some(pair), Some(backup)) = (
            state.pair(),
            state.grant().and_then(|grant| grant.backup.clone()),
        ) else {
            return;
        };
        let sync::Sync::Transferring {
            index, start, cut, ..
        } = state.backup
        else {
            return;
        };
        let mut records = Vec::new();
        let mut size = 0;
        let mut last = true;
        let mut end = start;
        for (key, claim) in state.table.after(start) {
            let beyond = match cut {
                Some(cut) => cut.end.is_none_or(|end| key > end),
                None => size >= BATCH_BYTES,
            };
            if beyond {
                last = false;
                break;
            }
            let mut record = self.to_record(slot, key, claim);
            if size + record.size() > 2 * BATCH_BYTES {
                // Answers that arrived since the part was cut follow as changes.
                record.answer = None;
            }
            size += record.size();
            end = Some(key);
            records.push(record);
        }
        let cut = cut.unwrap_or(sync::Cut { end, last });
        let floor = state.floor;
        if let Some(state) = self.state_mut(slot) {
            state.backup = sync::Sync::Transferring {
                index,
                start,
                cut: Some(cut),
                sent: now,
            };
        }
        let message = message::Message::Transfer {
            slot,
            pair,
            index,
            floor,
            records,
            last: cut.last,
        };
        self.send(&backup, message);
    }

    /// Sends again the changes that were last sent at least `age` ago.
    fn resend(&mut self, now: clock::Millis, slot: slot::Slot, age: clock::Millis) {
        let Some(state) = self.state_mut(slot) else {
            return;
        };
        let Some(backup) = state.grant().and_then(|grant| grant.backup.clone()) else {
            return;
        };
        let due: Vec<_> = state
            .pending
            .iter_mut()
            .filter(|(_, pending)| now >= pending.sent.plus(age))
            .map(|(key, pending)| {
                pending.sent = now;
                *key
            })
            .collect();
        let mut records = Vec::new();
        let mut size = 0;
        for key in due {
            let claim = self
                .state(slot)
                .and_then(|state| state.table.get(key).copied());
            let Some(claim) = claim else {
                continue;
            };
            let record = self.to_record(slot, key, claim);
            size += record.size();
            records.push(record);
            if size >= BATCH_BYTES {
                self.replicate(&backup, slot, std::mem::take(&mut records));
                size = 0;
            }
        }
        if !records.is_empty() {
            self.replicate(&backup, slot, records);
        }
    }

    /// Continues with the members of a new epoch after the claims were kept.
    pub(crate) fn pair_changed(&mut self, now: clock::Millis, slot: slot::Slot) {
        let me = self.me.clone();
        let Some(state) = self.state_mut(slot).filter(|state| state.is_primary(&me)) else {
            return;
        };
        if state.grant().is_some_and(|grant| grant.backup.is_some()) {
            match state.backup {
                sync::Sync::Complete => self.resend(now, slot, clock::Millis::ZERO),
                sync::Sync::Transferring { .. } => self.transfer(now, slot),
            }
            return;
        }
        let pending = std::mem::take(&mut state.pending);
        for (key, pending) in pending {
            let claim = self
                .state(slot)
                .and_then(|state| state.table.get(key).copied());
            if let (Some(waiter), Some(claim)) = (pending.waiter, claim) {
                self.acknowledge(&waiter, &claim);
            }
        }
    }

    pub(crate) fn tick_primary(&mut self, now: clock::Millis) {
        for slot in slot::Slot::all() {
            let state = &self.slots[usize::from(slot.number())];
            let idle = matches!(state.backup, sync::Sync::Complete) && state.pending.is_empty();
            if idle || !state.is_primary(&self.me) {
                continue;
            }
            match state.backup {
                sync::Sync::Complete => self.resend(now, slot, self.settings.resend_interval),
                sync::Sync::Transferring { sent, .. } => {
                    if now >= sent.plus(self.settings.resend_interval) {
                        self.transfer(now, slot);
                    }
                }
            }
        }
    }
}
