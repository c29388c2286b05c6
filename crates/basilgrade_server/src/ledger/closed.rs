//! A ledger that grants nothing.

use basilgrade_types::key;
use futures::FutureExt;
use futures::future;

use crate::ledger;

/// Refuses every claim, for a daemon that is not connected to others.
#[derive(Clone, Copy, Debug, Default)]
pub struct ClosedLedger;

impl ledger::Ledger for ClosedLedger {
    fn claim(
        &self,
        _: key::RequestKey,
        _: u64,
        _: ledger::Execution,
    ) -> future::BoxFuture<'_, ledger::Claim> {
        let reason = "this daemon takes part in no slot".to_owned();
        future::ready(ledger::Claim::Unavailable(reason)).boxed()
    }

    fn finish(
        &self,
        _: key::RequestKey,
        _: ledger::Execution,
        _: Option<ledger::Answer>,
    ) -> future::BoxFuture<'_, ()> {
        future::ready(()).boxed()
    }

    fn release(&self, _: key::RequestKey, _: ledger::Execution) -> future::BoxFuture<'_, ()> {
        future::ready(()).boxed()
    }

    fn mint(&self) -> Option<key::RequestKey> {
        None
    }
}
