//! Claims as stored in tables and as sent between the primary and the backup of a slot.

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

use crate::attempt_id;
use crate::claim_key;
use crate::fingerprint;

/// The state of a claim.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ClaimStage {
    /// An attempt holds the key and may be running.
    Claimed,
    /// The call of the attempt did not run; another attempt may claim the key.
    Released,
    /// The call of the attempt ran.
    Finished,
}

/// A claim in the table of its slot.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Claim {
    /// A hash of the request, which tells a repeat from a different request.
    pub fingerprint: fingerprint::Fingerprint,
    /// The attempt that holds, held or released the key.
    pub attempt: attempt_id::AttemptId,
    /// The number of changes of this claim.
    ///
    /// Primary and backup keep the highest version, so messages may arrive in any order.
    pub version: u32,
    pub stage: ClaimStage,
}

/// A claim with its key and stored answer, as sent between primary and backup.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ClaimRecord {
    pub key: claim_key::TableKey,
    pub claim: Claim,
    /// The stored answer; `None` if the claim is not finished or the answer was not kept.
    pub answer: Option<Bytes>,
}

impl ClaimRecord {
    /// The approximate encoded size of this record, in bytes.
    pub fn size(&self) -> usize {
        64 + self.answer.as_ref().map_or(0, Bytes::len)
    }
}
