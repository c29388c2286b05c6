//! A claim as kept in tables and sent between members.

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

use crate::attempt_id;
use crate::claim_key;
use crate::fingerprint;

/// How far a claim has come.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ClaimStage {
    /// An attempt holds the key and may be running.
    Claimed,
    /// The attempt did not run; another may claim the key.
    Released,
    /// The attempt ran.
    Finished,
}

/// A claim in the table of its slot.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Claim {
    /// What the request asks for.
    pub fingerprint: fingerprint::Fingerprint,
    /// The attempt that holds, held or released the key.
    pub attempt: attempt_id::AttemptId,
    /// Counts the changes of this claim; members keep the highest, so that messages may arrive in
    /// any order.
    pub version: u32,
    /// How far the claim has come.
    pub stage: ClaimStage,
}

/// A claim with its key and stored answer, as sent between members.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ClaimRecord {
    /// The claim's place in the table.
    pub key: claim_key::TableKey,
    /// The claim.
    pub claim: Claim,
    /// The stored answer of a finished claim.
    pub answer: Option<Bytes>,
}

impl ClaimRecord {
    /// Roughly the bytes of this record in a message.
    pub fn size(&self) -> usize {
        64 + self.answer.as_ref().map_or(0, Bytes::len)
    }
}
