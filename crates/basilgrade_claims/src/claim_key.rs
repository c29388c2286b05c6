//! What a claim is made on.

use std::fmt;

use basilgrade_types::key;
use serde::Deserialize;
use serde::Serialize;

/// A request key and the step of the request that must not run twice.
///
/// A pipeline can have several non-idempotent stages under one request key; each is claimed by its
/// index. A plain service call is step 0.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct ClaimKey {
    /// The caller's key.
    pub key: key::RequestKey,
    /// The index of the stage.
    pub step: u8,
}

impl fmt::Display for ClaimKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.key, self.step)
    }
}

/// A claim's place in the table of its slot: ordered by creation time.
///
/// The slot is implied by the table, and whether the caller spelled it out makes no difference to
/// which request is meant.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct TableKey {
    uuid: [u8; 16],
    step: u8,
}

impl TableKey {
    /// When the caller created the key.
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
