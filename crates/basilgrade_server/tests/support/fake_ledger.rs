//! Claims with scripted outcomes.

use std::sync;

use basilgrade_claims::attempt_id;
use basilgrade_claims::fingerprint;
use basilgrade_server::ledger;
use basilgrade_types::clock;
use basilgrade_types::key;
use basilgrade_types::slot;
use futures::FutureExt;
use futures::future;

/// Grants every claim, unless told otherwise, and records the outcomes.
#[derive(Clone, Default)]
pub(crate) struct FakeLedger {
    next: sync::Arc<sync::Mutex<Option<ledger::Claim>>>,
    outcomes: sync::Arc<sync::Mutex<Vec<ledger::Outcome>>>,
}

impl FakeLedger {
    /// Answers the next claim with `claim`.
    pub(crate) fn set_next(&self, claim: ledger::Claim) {
        *self.next.lock().expect("no test panicked") = Some(claim);
    }

    /// How the granted calls ended.
    pub(crate) fn outcomes(&self) -> Vec<ledger::Outcome> {
        self.outcomes.lock().expect("no test panicked").clone()
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
        let next = self.next.lock().expect("no test panicked").take();
        future::ready(next.unwrap_or(ledger::Claim::Granted)).boxed()
    }

    fn settle(&self, _: attempt_id::AttemptId, outcome: ledger::Outcome) {
        self.outcomes
            .lock()
            .expect("no test panicked")
            .push(outcome);
    }

    fn mint(&self) -> Option<key::RequestKey> {
        let slot = slot::Slot::new(1)?;
        Some(key::RequestKey::mint(slot, clock::Millis(1), 7))
    }
}
