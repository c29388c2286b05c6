//! The entry daemon's role: claiming request keys for its callers.

use basilgrade_types::clock;
use basilgrade_types::slot;

use crate::attempt_id;
use crate::claim_key;
use crate::claims;
use crate::decision;
use crate::fingerprint;
use crate::message;
use crate::output;
use crate::settlement;
use crate::slot_state;

/// One attempt of this daemon to claim a key.
#[derive(Debug)]
pub(crate) struct Attempt {
    claim: claim_key::ClaimKey,
    fingerprint: fingerprint::Fingerprint,
    phase: Phase,
    /// When the current message to the primary was last sent.
    sent_at: clock::Millis,
}

#[derive(Debug)]
enum Phase {
    /// The primary has been asked for the key; a decision is awaited until `deadline`.
    Requesting { deadline: clock::Millis },
    /// The claim is granted, and the executor may send the call.
    Granted,
    /// The outcome of the call is reported until the primary confirms or `give_up_at` is reached.
    Settling {
        settlement: settlement::Settlement,
        give_up_at: clock::Millis,
    },
}

impl claims::Claims {
    /// Claims a key for a request of this daemon.
    ///
    /// [`output::Output::Decide`] follows exactly once, at the latest at the first tick after
    /// `deadline`. After [`decision::Decision::Granted`], the daemon may send the call under this
    /// key, and may send it again as long as every earlier sending is known as `not run`. The
    /// daemon then calls [`claims::Claims::settle`] once.
    pub fn claim(
        &mut self,
        now: clock::Millis,
        claim: claim_key::ClaimKey,
        fingerprint: fingerprint::Fingerprint,
        attempt: attempt_id::AttemptId,
        deadline: clock::Millis,
    ) {
        let refusal = if self.attempts.len() >= self.settings.attempt_limit {
            Some(decision::Refusal::Busy)
        } else if self.primary_of(&claim).is_none() {
            Some(decision::Refusal::NoOwner)
        } else {
            None
        };
        if let Some(refusal) = refusal {
            self.push_decision(attempt, decision::Decision::NotRun(refusal));
            return;
        }
        self.attempts.insert(
            attempt,
            Attempt {
                claim,
                fingerprint,
                phase: Phase::Requesting { deadline },
                sent_at: now,
            },
        );
        self.send_claim(now, attempt);
        self.deliver_loopback(now);
    }

    /// Reports the outcome of the call made under a granted claim.
    ///
    /// For a call whose outcome is unknown, use [`claims::Claims::forget`] instead: its claim
    /// stays, and repeats of the request are answered `may have run`.
    pub fn settle(
        &mut self,
        now: clock::Millis,
        attempt: attempt_id::AttemptId,
        settlement: settlement::Settlement,
    ) {
        let give_up_at = now.plus(self.settings.settle_timeout);
        let Some(entry) = self.attempts.get_mut(&attempt) else {
            return;
        };
        if !matches!(entry.phase, Phase::Granted) {
            return;
        }
        entry.phase = Phase::Settling {
            settlement,
            give_up_at,
        };
        self.send_settlement(now, attempt);
        self.deliver_loopback(now);
    }

    /// Ends a granted attempt whose call may have run, without releasing its claim.
    pub fn forget(&mut self, attempt: attempt_id::AttemptId) {
        let granted = self
            .attempts
            .get(&attempt)
            .is_some_and(|entry| matches!(entry.phase, Phase::Granted));
        if granted {
            self.attempts.swap_remove(&attempt);
        }
    }

    fn push_decision(&mut self, attempt: attempt_id::AttemptId, decision: decision::Decision) {
        self.outputs
            .push_back(output::Output::Decide { attempt, decision });
    }

    /// Sends the claim to the current primary of the key's slot.
    fn send_claim(&mut self, now: clock::Millis, attempt: attempt_id::AttemptId) {
        let Some(entry) = self.attempts.get_mut(&attempt) else {
            return;
        };
        entry.sent_at = now;
        let (claim, fingerprint) = (entry.claim, entry.fingerprint);
        let Some(primary) = self.primary_of(&claim).cloned() else {
            return;
        };
        let epoch = self
            .state(claim.key.slot())
            .map_or_else(Default::default, slot_state::SlotState::epoch);
        let message = message::Message::Claim {
            claim,
            fingerprint,
            attempt,
            epoch,
        };
        self.send(&primary, message);
    }

    /// Sends the outcome of the call to the current primary of the key's slot.
    fn send_settlement(&mut self, now: clock::Millis, attempt: attempt_id::AttemptId) {
        let Some(entry) = self.attempts.get_mut(&attempt) else {
            return;
        };
        let Phase::Settling { settlement, .. } = &entry.phase else {
            return;
        };
        entry.sent_at = now;
        let settlement = settlement.clone();
        let claim = entry.claim;
        let Some(primary) = self.primary_of(&claim).cloned() else {
            return;
        };
        let epoch = self
            .state(claim.key.slot())
            .map_or_else(Default::default, slot_state::SlotState::epoch);
        let message = message::Message::Settle {
            claim,
            attempt,
            settlement,
            epoch,
        };
        self.send(&primary, message);
    }

    pub(crate) fn on_decided(
        &mut self,
        now: clock::Millis,
        attempt: attempt_id::AttemptId,
        decision: decision::Decision,
    ) {
        let Some(entry) = self.attempts.get_mut(&attempt) else {
            return;
        };
        // Once the attempt was reported as not run, a late grant must not be used.
        if !matches!(entry.phase, Phase::Requesting { .. }) {
            return;
        }
        match decision {
            decision::Decision::Granted => entry.phase = Phase::Granted,
            decision::Decision::NotRun(_) => {
                self.release_claim(now, attempt);
            }
            decision::Decision::Answered(_)
            | decision::Decision::MayHaveRun
            | decision::Decision::Mismatch => {
                self.attempts.swap_remove(&attempt);
            }
        }
        self.push_decision(attempt, decision);
    }

    /// Releases a claim that the primary may have recorded although no grant arrived.
    ///
    /// The claim is released even after a refusal, because a retransmission of the claim may still
    /// reach the primary.
    fn release_claim(&mut self, now: clock::Millis, attempt: attempt_id::AttemptId) {
        let give_up_at = now.plus(self.settings.settle_timeout);
        if let Some(entry) = self.attempts.get_mut(&attempt) {
            entry.phase = Phase::Settling {
                settlement: settlement::Settlement::Released,
                give_up_at,
            };
        }
        self.send_settlement(now, attempt);
    }

    pub(crate) fn on_settled(&mut self, attempt: attempt_id::AttemptId) {
        let settling = self
            .attempts
            .get(&attempt)
            .is_some_and(|entry| matches!(entry.phase, Phase::Settling { .. }));
        if settling {
            self.attempts.swap_remove(&attempt);
        }
    }

    /// Sends the undecided claims on keys of `slot` to its new primary.
    pub(crate) fn resend_claims(&mut self, now: clock::Millis, slot: slot::Slot) {
        let undecided: Vec<_> = self
            .attempts
            .iter()
            .filter(|(_, entry)| {
                entry.claim.key.slot() == slot && matches!(entry.phase, Phase::Requesting { .. })
            })
            .map(|(attempt, _)| *attempt)
            .collect();
        for attempt in undecided {
            self.send_claim(now, attempt);
        }
    }

    /// Resends unanswered messages, and ends attempts whose time is over.
    pub(crate) fn tick_attempts(&mut self, now: clock::Millis) {
        let mut expired = Vec::new();
        let mut due_claims = Vec::new();
        let mut due_settlements = Vec::new();
        let resend = self.settings.resend_after;
        self.attempts.retain(|attempt, entry| match &entry.phase {
            Phase::Requesting { deadline } => {
                if now >= *deadline {
                    expired.push(*attempt);
                } else if now >= entry.sent_at.plus(resend) {
                    due_claims.push(*attempt);
                }
                true
            }
            Phase::Granted => true,
            Phase::Settling { give_up_at, .. } => {
                if now >= entry.sent_at.plus(resend) {
                    due_settlements.push(*attempt);
                }
                now < *give_up_at
            }
        });
        for attempt in expired {
            self.release_claim(now, attempt);
            self.push_decision(
                attempt,
                decision::Decision::NotRun(decision::Refusal::Timeout),
            );
        }
        for attempt in due_claims {
            self.send_claim(now, attempt);
        }
        for attempt in due_settlements {
            self.send_settlement(now, attempt);
        }
    }
}
