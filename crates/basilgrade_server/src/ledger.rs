//! Interface between the executor and the claims on request keys.

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

/// A stored answer, returned when a request key is repeated.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Answer {
    /// HTTP status code.
    pub status: u16,
    /// Content type; empty if the response had none.
    pub content_type: String,
    /// Complete response body.
    pub body: Bytes,
}

/// Result of claiming a request key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Claim {
    /// This attempt, and no other, may send the call.
    Granted,
    /// The call has run under this key; contains its stored answer.
    Finished(Answer),
    /// Another attempt holds the key, or may have held it, so the call may have run.
    Held,
    /// The key was used for a request with a different fingerprint.
    Mismatch,
    /// No claim can be made now and nothing may be sent; contains the reason.
    Unavailable(String),
}

/// Outcome of the call made under a granted claim.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The call ran; its answer is stored if it is small enough.
    Finished(Option<Answer>),
    /// The call was not run, so a repeat of the request may run.
    Released,
    /// The call may have run, so the claim is never released.
    Unknown,
}

/// Claims on request keys, valid for all daemons.
pub trait Ledger: Send + Sync {
    /// Claims `key` for one attempt; the result is known by `deadline`.
    fn claim(
        &self,
        key: key::RequestKey,
        fingerprint: fingerprint::Fingerprint,
        attempt: attempt_id::AttemptId,
        deadline: clock::Millis,
    ) -> future::BoxFuture<'_, Claim>;

    /// Records the outcome of the call of a granted attempt.
    fn settle(&self, attempt: attempt_id::AttemptId, outcome: Outcome);

    /// Mints a request key in a slot that this failure domain owns; `None` if it owns no slot.
    fn mint(&self) -> Option<key::RequestKey>;
}
