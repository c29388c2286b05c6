//! The border between the executor and the claims on request keys.

pub mod rejecting;
pub mod slots;

use basilgrade_claims::attempt_id;
use basilgrade_claims::fingerprint;
use basilgrade_types::clock;
use basilgrade_types::key;
use bytes::Bytes;
use futures::future;
use serde::Deserialize;
use serde::Serialize;

/// An answer kept for repeats of a key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Content type, empty if there is none.
    pub content_type: String,
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

/// How the call of a granted attempt ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// It ran; the answer is kept if it is small enough.
    Finished(Option<Answer>),
    /// It was certainly not run, so a repeat may run.
    Released,
    /// It may have run; the claim stays for good.
    Unknown,
}

/// Claims on request keys over all daemons.
pub trait Ledger: Send + Sync {
    /// Claims `key` for one attempt; the outcome is known by `deadline`.
    fn claim(
        &self,
        key: key::RequestKey,
        fingerprint: fingerprint::Fingerprint,
        attempt: attempt_id::AttemptId,
        deadline: clock::Millis,
    ) -> future::BoxFuture<'_, Claim>;

    /// Records how the call of a granted attempt ended.
    fn settle(&self, attempt: attempt_id::AttemptId, outcome: Outcome);

    /// Makes a key in a slot that this failure domain holds, if it holds one.
    fn mint(&self) -> Option<key::RequestKey>;
}
