//! The border between the executor and the claims on request keys.

pub mod closed;

use basilgrade_types::key;
use bytes::Bytes;
use futures::future;
use serde::Deserialize;
use serde::Serialize;

/// Identity of one execution, so that its own retransmissions are recognised.
pub type Execution = u128;

/// An answer kept for repeats of a key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Content type, empty if there is none.
    pub content: String,
    /// The body.
    pub body: Bytes,
}

/// What became of a claim.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Claim {
    /// The call may be sent; nobody else will send it.
    Granted,
    /// The call finished before and its answer is kept.
    Finished(Answer),
    /// The call was claimed before, or may have been.
    Held,
    /// The key stands for another request.
    Mismatch,
    /// No claim can be made now; nothing may be sent.
    Unavailable(String),
}

/// Claims on request keys over all daemons.
pub trait Ledger: Send + Sync {
    /// Claims `key` for one execution.
    fn claim(
        &self,
        key: key::RequestKey,
        fingerprint: u64,
        execution: Execution,
    ) -> future::BoxFuture<'_, Claim>;

    /// Records that the call ran; `answer` is kept if it is small enough.
    fn finish(
        &self,
        key: key::RequestKey,
        execution: Execution,
        answer: Option<Answer>,
    ) -> future::BoxFuture<'_, ()>;

    /// Gives the claim back because the call was certainly not run.
    fn release(&self, key: key::RequestKey, execution: Execution) -> future::BoxFuture<'_, ()>;

    /// Makes a key in a slot that this failure domain holds, if it holds one.
    fn mint(&self) -> Option<key::RequestKey>;
}
