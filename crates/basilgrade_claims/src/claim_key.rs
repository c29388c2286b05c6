//! Keys under which claims are made and stored.

use std::fmt;

use basilgrade_types::key;
use serde::Deserialize;
use serde::Serialize;

/// A request key and the step of the request that must not run twice.
///
/// A pipeline can have several non-idempotent stages under one request key; each stage is claimed
/// separately, with its index as step. A plain service call is step 0.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct ClaimKey {
    pub key: key::RequestKey,
    /// The index of the pipeline stage; 0 for a plain service call.
    pub step: u8,
}

impl fmt::Display for ClaimKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.key, self.step)
    }
}

/// The key of a claim within the table of its slot, ordered by creation time.
///
/// The slot is not part of this key, because each table belongs to one slot. Neither is whether
/// the caller wrote the slot explicitly, because both forms of a key mean the same request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct TableKey {
    uuid: [u8; 16],
    step: u8,
}

impl TableKey {
    /// When the caller created the key: the timestamp in the first 48 bits of the UUIDv7.
    pub fn created(&self) -> basilgrade_types::clock::Millis {
        let millis = self.uuid[..6]
            .iter()
            .fold(0, |sum, byte| (sum << 8) | u64::from(*byte));
        basilgrade_types::clock::Millis(millis)
    }
}

impl From<&ClaimKey> for TableKey {
    fn from(claim: &ClaimKey) -> Self {
        Self {
            uuid: *claim.key.uuid().as_bytes(),
            step: claim.step,
        }
    }
}
