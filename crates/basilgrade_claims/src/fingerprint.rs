//! What a request asks for, as a hash.

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3;

/// A hash over customer, target and body of a request.
///
/// It tells a repeat from a different request under the same key. It guards against mistakes of
/// the key's own customer, not against forgery, so a fast hash serves.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(transparent)]
pub struct Fingerprint([u8; 16]);

impl Fingerprint {
    /// The fingerprint of a request.
    pub fn of(customer: &str, target: &str, body: &[u8]) -> Self {
        let mut hash = xxh3::Xxh3::new();
        for part in [customer.as_bytes(), target.as_bytes(), body] {
            // The length keeps parts apart, so that text cannot move from one to the next.
            hash.update(&(part.len() as u64).to_le_bytes());
            hash.update(part);
        }
        Self(hash.digest128().to_le_bytes())
    }

    /// The fingerprint of a released attempt whose claim was never seen.
    pub(crate) const UNKNOWN: Self = Self([0; 16]);
}
