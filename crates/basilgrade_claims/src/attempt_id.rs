//! Identifiers of attempts to claim a request key.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// A random number that identifies one attempt of one daemon to claim a request key.
///
/// Retransmissions carry the same number, which makes claim messages idempotent. The number is
/// drawn anew for each request, so a daemon does not reuse one after a restart.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct AttemptId([u8; 16]);

impl AttemptId {
    /// The identifier with the value `random`, which should come from a random number generator.
    pub const fn new(random: u128) -> Self {
        Self(random.to_le_bytes())
    }
}

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", u128::from_le_bytes(self.0))
    }
}
