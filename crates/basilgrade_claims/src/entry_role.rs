//! Claiming keys for this daemon's callers.

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

/// One attempt to claim a key.
#[derive(Debug)]
pub(crate) struct Attempt {
    claim: claim_key::ClaimKey,
    fingerprint: fingerprint::Fingerprint,
    phase: Phase,
    sent: clock::Millis,
}

#[derive(Debug)]
enum Phase {
    /// Waiting for a decision until `deadline`.
    Asking { deadline: clock::Millis },
    /// The executor was told that the call may be sent.
    Granted,
    /// The primary is being told how it ended, until `until`.
    Settling {
        settlement: settlement::Settlement,
        until: clock::Millis,
    },
}

impl claims::Claims {
    /// Claims a key for a request of this daemon.
    ///
    /// [`output::Output::Decide`] follows exactly once, at the latest at the first tick after
    /// `deadline`. After [`decision::Decision::Granted`] the daemon calls
    /// [`claims::Claims::settle`] once, and may
    /// send the call, under this key only, any number of times as long as each earlier sending is
    /// known as `not run`.
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
        } else if self.claim_from(&claim).is_none() {
            Some(decision::Refusal::NoOwner)
        } else {
            None
        };
        if let Some(refusal) = refusal {
            self.conclude(attempt, decision::Decision::NotRun(refusal));
            return;
        }
        self.attempts.insert(
            attempt,
            Attempt {
                claim,
                fingerprint,
                phase: Phase::Asking { deadline },
                sent: now,
            },
        );
        self.ask(now, attempt);
        self.run_local(now);
    }

    /// Reports how the call of a granted claim ended.
    ///
    /// A call whose outcome is unknown is not reported: its claim stays, and repeats are answered
    /// `may have run`; use [`claims::Claims::forget`].
    pub fn settle(
        &mut self,
        now: clock::Millis,
        attempt: attempt_id::AttemptId,
        settlement: settlement::Settlement,
    ) {
        let until = now.plus(self.settings.settle_timeout);
        let Some(held) = self.attempts.get_mut(&attempt) else {
            return;
        };
        if !matches!(held.phase, Phase::Granted) {
            return;
        }
        held.phase = Phase::Settling { settlement, until };
        self.report(now, attempt);
        self.run_local(now);
    }

    /// Ends a granted attempt whose call may have run; its claim stays.
    pub fn forget(&mut self, attempt: attempt_id::AttemptId) {
        let granted = self
            .attempts
            .get(&attempt)
            .is_some_and(|held| matches!(held.phase, Phase::Granted));
        if granted {
            self.attempts.swap_remove(&attempt);
        }
    }

    fn conclude(&mut self, attempt: attempt_id::AttemptId, decision: decision::Decision) {
        self.outputs
            .push_back(output::Output::Decide { attempt, decision });
    }

    /// Sends the claim to the primary in force.
    fn ask(&mut self, now: clock::Millis, attempt: attempt_id::AttemptId) {
        let Some(held) = self.attempts.get_mut(&attempt) else {
            return;
        };
        held.sent = now;
        let (claim, fingerprint) = (held.claim, held.fingerprint);
        let Some(primary) = self.claim_from(&claim).cloned() else {
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

    /// Sends the end of the call to the primary in force.
    fn report(&mut self, now: clock::Millis, attempt: attempt_id::AttemptId) {
        let Some(held) = self.attempts.get_mut(&attempt) else {
            return;
        };
        let Phase::Settling { settlement, .. } = &held.phase else {
            return;
        };
        held.sent = now;
        let settlement = settlement.clone();
        let claim = held.claim;
        let Some(primary) = self.claim_from(&claim).cloned() else {
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
        let Some(held) = self.attempts.get_mut(&attempt) else {
            return;
        };
        // A grant that arrives after the time-out was reported as not run must not be used.
        if !matches!(held.phase, Phase::Asking { .. }) {
            return;
        }
        match decision {
            decision::Decision::Granted => held.phase = Phase::Granted,
            decision::Decision::NotRun(_) => {
                self.abandon(now, attempt);
            }
            decision::Decision::Answered(_)
            | decision::Decision::MayHaveRun
            | decision::Decision::Mismatch => {
                self.attempts.swap_remove(&attempt);
            }
        }
        self.conclude(attempt, decision);
    }

    /// Releases a claim that may have been recorded although no grant arrived.
    ///
    /// A retransmission may still be under way, so the release is reported even after a refusal.
    fn abandon(&mut self, now: clock::Millis, attempt: attempt_id::AttemptId) {
        let until = now.plus(self.settings.settle_timeout);
        if let Some(held) = self.attempts.get_mut(&attempt) {
            held.phase = Phase::Settling {
                settlement: settlement::Settlement::Released,
                until,
            };
        }
        self.report(now, attempt);
    }

    pub(crate) fn on_settled(&mut self, attempt: attempt_id::AttemptId) {
        let settling = self
            .attempts
            .get(&attempt)
            .is_some_and(|held| matches!(held.phase, Phase::Settling { .. }));
        if settling {
            self.attempts.swap_remove(&attempt);
        }
    }

    /// Sends the undecided claims of `slot` to its new primary.
    pub(crate) fn route_again(&mut self, now: clock::Millis, slot: slot::Slot) {
        let asking: Vec<_> = self
            .attempts
            .iter()
            .filter(|(_, held)| {
                held.claim.key.slot() == slot && matches!(held.phase, Phase::Asking { .. })
            })
            .map(|(attempt, _)| *attempt)
            .collect();
        for attempt in asking {
            self.ask(now, attempt);
        }
    }

    pub(crate) fn tick_attempts(&mut self, now: clock::Millis) {
        let mut expired = Vec::new();
        let mut ask = Vec::new();
        let mut report = Vec::new();
        let resend = self.settings.resend_interval;
        self.attempts.retain(|attempt, held| match &held.phase {
            Phase::Asking { deadline } => {
                if now >= *deadline {
                    expired.push(*attempt);
                } else if now >= held.sent.plus(resend) {
                    ask.push(*attempt);
                }
                true
            }
            Phase::Granted => true,
            Phase::Settling { until, .. } => {
                if now >= held.sent.plus(resend) {
                    report.push(*attempt);
                }
                now < *until
            }
        });
        for attempt in expired {
            self.abandon(now, attempt);
            self.conclude(
                attempt,
                decision::Decision::NotRun(decision::Refusal::Timeout),
            );
        }
        for attempt in ask {
            self.ask(now, attempt);
        }
        for attempt in report {
            self.report(now, attempt);
        }
    }
}
