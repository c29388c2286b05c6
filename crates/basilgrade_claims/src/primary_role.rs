//! The primary's role: deciding claims on the keys of a slot and replicating them to the backup.

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
use crate::pending_change;
use crate::settlement;
use crate::sync;

/// The size of records, in bytes, at which a message is complete; a quarter of the frame limit of
/// 1 MiB.
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
        if !state.is_synced() || state.release_ceiling.is_some() {
            self.send_decision(
                from,
                attempt,
                decision::Decision::NotRun(decision::Refusal::NoOwner),
            );
            return;
        }
        match state.table.get(key).copied() {
            Some(existing) if existing.stage == claim_record::ClaimStage::Released => {
                match existing.version.checked_add(1) {
                    _ if existing.attempt == attempt => {
                        self.send_decision(
                            from,
                            attempt,
                            decision::Decision::NotRun(decision::Refusal::Released),
                        );
                    }
                    Some(version) => {
                        self.record_claim(now, from, slot, key, fingerprint, attempt, version);
                    }
                    None => self.send_decision(from, attempt, decision::Decision::MayHaveRun),
                }
            }
            Some(existing) => self.answer_repeat(from, slot, key, &existing, fingerprint, attempt),
            None => match self.admit(slot, key) {
                Ok(()) => self.record_claim(now, from, slot, key, fingerprint, attempt, 1),
                Err(decision) => self.send_decision(from, attempt, decision),
            },
        }
    }

    /// Checks whether a key without a claim may be claimed; returns the refusal if it may not.
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
        if state.pending_changes.len() >= self.settings.pending_limit {
            return Err(decision::Decision::NotRun(decision::Refusal::Busy));
        }
        Ok(())
    }

    #[expect(clippy::too_many_arguments, reason = "fields of one claim")]
    fn record_claim(
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
        self.apply_change(now, slot, key, claim, from);
    }

    /// Decides a claim on a key that is already claimed or whose call has run.
    fn answer_repeat(
        &mut self,
        from: &node::Node,
        slot: slot::Slot,
        key: claim_key::TableKey,
        existing: &claim_record::Claim,
        fingerprint: fingerprint::Fingerprint,
        attempt: attempt_id::AttemptId,
    ) {
        let decision = if existing.fingerprint != fingerprint {
            decision::Decision::Mismatch
        } else if existing.stage == claim_record::ClaimStage::Finished {
            self.answers
                .get(slot, key)
                .map_or(decision::Decision::MayHaveRun, |answer| {
                    decision::Decision::Answered(answer.clone())
                })
        } else if existing.attempt != attempt {
            decision::Decision::MayHaveRun
        } else {
            let pending = self
                .state_mut(slot)
                .and_then(|state| state.pending_changes.get_mut(&key));
            if let Some(pending) = pending {
                pending.waiter = Some(from.clone());
                return;
            }
            decision::Decision::Granted
        };
        self.send_decision(from, attempt, decision);
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
        let existing = state.table.get(key).copied();
        let released = settlement == settlement::Settlement::Released;
        let settled = match existing {
            Some(existing)
                if existing.stage == claim_record::ClaimStage::Claimed
                    && existing.version < u32::MAX
                    && (existing.attempt == attempt || !self.safety.attempt_match) =>
            {
                Some(claim_record::Claim {
                    version: existing.version + 1,
                    stage: if released {
                        claim_record::ClaimStage::Released
                    } else {
                        claim_record::ClaimStage::Finished
                    },
                    ..existing
                })
            }
            // The release arrived before its claim. Recording it makes the late claim be refused.
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
        self.apply_change(now, slot, key, settled, from);
    }

    /// Records a change of a claim, and notifies `waiter` once the backup has acknowledged it.
    fn apply_change(
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
        state.newest_created = state.newest_created.max(key.created());
        state.table.put(key, claim);
        let Some(backup) = state.grant().and_then(|grant| grant.backup.clone()) else {
            self.confirm(waiter, &claim);
            self.evict_excess(slot);
            return;
        };
        state.pending_changes.insert(
            key,
            pending_change::PendingChange {
                version: claim.version,
                waiter: wait.then(|| waiter.clone()),
                sent_at: now,
            },
        );
        // During a transfer of the table the backup acknowledges no changes, so the change is sent
        // after the transfer.
        if matches!(state.backup_sync, sync::BackupSync::Complete) {
            let record = self.to_record(slot, key, claim);
            self.replicate(&backup, slot, vec![record]);
        }
        if !wait {
            self.confirm(waiter, &claim);
        }
        self.evict_excess(slot);
    }

    /// Notifies an entry daemon that a change of its claim is recorded by primary and backup.
    fn confirm(&mut self, waiter: &node::Node, claim: &claim_record::Claim) {
        let attempt = claim.attempt;
        if claim.stage == claim_record::ClaimStage::Claimed {
            self.send_decision(waiter, attempt, decision::Decision::Granted);
        } else {
            self.send(waiter, message::Message::Settled { attempt });
        }
    }

    fn send_decision(
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

    /// Whether this daemon is primary of `slot` under `pair`, and `from` is its backup.
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
            if state
                .pending_changes
                .get(key)
                .map(|pending| pending.version)
                != Some(*version)
            {
                continue;
            }
            let pending = state.pending_changes.swap_remove(key);
            let claim = state.table.get(*key).copied();
            if let (Some(waiter), Some(claim)) = (pending.and_then(|pending| pending.waiter), claim)
            {
                self.confirm(&waiter, &claim);
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
            && matches!(state.backup_sync, sync::BackupSync::Complete)
        {
            state.backup_sync = sync::BackupSync::NOT_STARTED;
            self.send_part(now, slot);
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
        let sync::BackupSync::Transferring {
            index: current,
            part_end: Some(part_end),
            ..
        } = state.backup_sync
        else {
            return;
        };
        if current != index {
            return;
        }
        if part_end.last {
            state.backup_sync = sync::BackupSync::Complete;
            self.resend(now, slot, clock::Millis::ZERO);
        } else {
            state.backup_sync = sync::BackupSync::Transferring {
                index: index + 1,
                after_key: part_end.end_key,
                part_end: None,
                sent_at: now,
            };
            self.send_part(now, slot);
        }
    }

    /// Sends the current part of the table of claims to the backup.
    fn send_part(&mut self, now: clock::Millis, slot: slot::Slot) {
        let Some(state) = self.state(slot) else {
            return;
        };
        let (Some(pair), Some(backup)) = (
            state.pair(),
            state.grant().and_then(|grant| grant.backup.clone()),
        ) else {
            return;
        };
        let sync::BackupSync::Transferring {
            index,
            after_key,
            part_end,
            ..
        } = state.backup_sync
        else {
            return;
        };
        let mut records = Vec::new();
        let mut size = 0;
        let mut last = true;
        let mut end_key = after_key;
        for (key, claim) in state.table.iter_after(after_key) {
            let beyond = match part_end {
                Some(part_end) => part_end.end_key.is_none_or(|end_key| key > end_key),
                None => size >= BATCH_BYTES,
            };
            if beyond {
                last = false;
                break;
            }
            let mut record = self.to_record(slot, key, claim);
            if size + record.size() > 2 * BATCH_BYTES {
                // When a part is sent again, answers stored since its first sending may make it too
                // long. Such answers are sent as pending changes instead.
                record.answer = None;
            }
            size += record.size();
            end_key = Some(key);
            records.push(record);
        }
        let part_end = part_end.unwrap_or(sync::PartEnd { end_key, last });
        let floor = state.floor;
        if let Some(state) = self.state_mut(slot) {
            state.backup_sync = sync::BackupSync::Transferring {
                index,
                after_key,
                part_end: Some(part_end),
                sent_at: now,
            };
        }
        let message = message::Message::Transfer {
            slot,
            pair,
            index,
            floor,
            records,
            last: part_end.last,
        };
        self.send(&backup, message);
    }

    /// Sends again the pending changes that were last sent at least `age` ago.
    fn resend(&mut self, now: clock::Millis, slot: slot::Slot, age: clock::Millis) {
        let Some(state) = self.state_mut(slot) else {
            return;
        };
        let Some(backup) = state.grant().and_then(|grant| grant.backup.clone()) else {
            return;
        };
        let due: Vec<_> = state
            .pending_changes
            .iter_mut()
            .filter(|(_, pending)| now >= pending.sent_at.plus(age))
            .map(|(key, pending)| {
                pending.sent_at = now;
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

    /// Continues replication under a new epoch whose primary has kept the claims.
    pub(crate) fn on_pair_changed(&mut self, now: clock::Millis, slot: slot::Slot) {
        let me = self.me.clone();
        let Some(state) = self.state_mut(slot).filter(|state| state.is_primary(&me)) else {
            return;
        };
        if state.grant().is_some_and(|grant| grant.backup.is_some()) {
            match state.backup_sync {
                sync::BackupSync::Complete => self.resend(now, slot, clock::Millis::ZERO),
                sync::BackupSync::Transferring { .. } => self.send_part(now, slot),
            }
            return;
        }
        let pending = std::mem::take(&mut state.pending_changes);
        for (key, pending) in pending {
            let claim = self
                .state(slot)
                .and_then(|state| state.table.get(key).copied());
            if let (Some(waiter), Some(claim)) = (pending.waiter, claim) {
                self.confirm(&waiter, &claim);
            }
        }
    }

    /// Resends unacknowledged changes and parts of tables.
    pub(crate) fn tick_primary(&mut self, now: clock::Millis) {
        for slot in slot::Slot::all() {
            let state = &self.slots[usize::from(slot.number())];
            let idle = matches!(state.backup_sync, sync::BackupSync::Complete)
                && state.pending_changes.is_empty();
            if idle || !state.is_primary(&self.me) {
                continue;
            }
            match state.backup_sync {
                sync::BackupSync::Complete => self.resend(now, slot, self.settings.resend_after),
                sync::BackupSync::Transferring { sent_at, .. } => {
                    if now >= sent_at.plus(self.settings.resend_after) {
                        self.send_part(now, slot);
                    }
                }
            }
        }
    }
}
