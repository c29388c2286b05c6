//! Hashes that tell whether two requests under the same key are the same.

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3;

/// A hash over the customer, target and body of a request.
///
/// It tells a repeat from a different request under the same key. It detects accidental reuse of a
/// key by its own customer and not forgery, so a fast non-cryptographic hash is sufficient.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(transparent)]
pub struct Fingerprint([u8; 16]);

impl Fingerprint {
    pub fn of(customer: &str, target: &str, body: &[u8]) -> Self {
        let mut hash = xxh3::Xxh3::new();
        for part in [customer.as_bytes(), target.as_bytes(), body] {
            // The length prefix makes the boundaries between the parts unambiguous.
            hash.update(&(part.len() as u64).to_le_bytes());
            hash.update(part);
        }
        Self(hash.digest128().to_le_bytes())
    }

    /// A placeholder for attempts that are released before their claim arrives.
    pub(crate) const UNKNOWN: Self = Self([0; 16]);
}
