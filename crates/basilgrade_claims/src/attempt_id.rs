//! Identity of one attempt to claim a key.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// A random number that names one attempt of one entry daemon to claim a key.
///
/// Retransmissions carry the same number, so a claim message can arrive any number of times. It is
/// drawn anew for each request, so a restarted daemon never repeats one.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct AttemptId([u8; 16]);

impl AttemptId {
    /// The attempt named by `random`.
    pub const fn new(random: u128) -> Self {
        Self(random.to_le_bytes())
    }
}

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", u128::from_le_bytes(self.0))
    }
}
