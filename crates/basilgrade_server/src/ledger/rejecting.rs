//! A ledger that rejects every claim.

use basilgrade_claims::attempt_id;
use basilgrade_claims::fingerprint;
use basilgrade_types::clock;
use basilgrade_types::key;
use futures::FutureExt;
use futures::future;

use crate::ledger;

/// Rejects every claim, for a daemon that is not connected to other daemons.
#[derive(Clone, Copy, Debug, Default)]
pub struct RejectingLedger;

impl ledger::Ledger for RejectingLedger {
    fn claim(
        &self,
        _: key::RequestKey,
        _: fingerprint::Fingerprint,
        _: attempt_id::AttemptId,
        _: clock::Millis,
    ) -> future::BoxFuture<'_, ledger::Claim> {
        let reason = "this daemon is not connected to other daemons".to_owned();
        future::ready(ledger::Claim::Unavailable(reason)).boxed()
    }

    fn settle(&self, _: attempt_id::AttemptId, _: ledger::Outcome) {}

    fn mint(&self) -> Option<key::RequestKey> {
        None
    }
}
