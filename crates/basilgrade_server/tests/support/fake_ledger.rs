//! A ledger with scripted results of claims.

use std::sync;

use basilgrade_claims::attempt_id;
use basilgrade_claims::fingerprint;
use basilgrade_server::ledger;
use basilgrade_types::clock;
use basilgrade_types::key;
use basilgrade_types::slot;
use futures::FutureExt;
use futures::future;

/// Grants every claim, unless another result is set, and records the outcomes of calls.
#[derive(Clone, Default)]
pub(crate) struct FakeLedger {
    next: sync::Arc<sync::Mutex<Option<ledger::Claim>>>,
    outcomes: sync::Arc<sync::Mutex<Vec<ledger::Outcome>>>,
}

impl FakeLedger {
    /// Sets the result of the next claim.
    pub(crate) fn set_next(&self, claim: ledger::Claim) {
        *self.next.lock().expect("expected an unpoisoned lock") = Some(claim);
    }

    /// Recorded outcomes of calls under granted claims.
    pub(crate) fn outcomes(&self) -> Vec<ledger::Outcome> {
        self.outcomes
            .lock()
            .expect("expected an unpoisoned lock")
            .clone()
    }
}

impl ledger::Ledger for FakeLedger {
    fn claim(
        &self,
        _: key::RequestKey,
        _: fingerprint::Fingerprint,
        _: attempt_id::AttemptId,
        _: clock::Millis,
    ) -> future::BoxFuture<'_, ledger::Claim> {
        let next = self
            .next
            .lock()
            .expect("expected an unpoisoned lock")
            .take();
        future::ready(next.unwrap_or(ledger::Claim::Granted)).boxed()
    }

    fn settle(&self, _: attempt_id::AttemptId, outcome: ledger::Outcome) {
        self.outcomes
            .lock()
            .expect("expected an unpoisoned lock")
            .push(outcome);
    }

    fn mint(&self) -> Option<key::RequestKey> {
        let slot = slot::Slot::new(1)?;
        Some(key::RequestKey::mint(slot, clock::Millis(1), 7))
    }
}
