//! Name of what a request asks for, equal in all attempts of it.

use std::fmt;
use std::num;
use std::str;

use xxhash_rust::xxh3;

/// Hash of a request's target, caller and body; printed with 16 hexadecimal digits.
///
/// Ids, deadlines and other headers differ between attempts and are left out.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Fingerprint(pub u64);

impl Fingerprint {
    /// Fingerprint of a request for `target`, a path with its query, with the body `body`.
    ///
    /// `caller` names the customer; empty if the deployment has none.
    pub fn new(target: &str, caller: &str, body: &[u8]) -> Self {
        let mut hash = xxh3::Xxh3Default::new();
        for field in [target.as_bytes(), caller.as_bytes(), body] {
            hash.update(&(field.len() as u64).to_le_bytes());
            hash.update(field);
        }
        Self(hash.digest())
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl str::FromStr for Fingerprint {
    type Err = num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u64::from_str_radix(text, 16).map(Self)
    }
}
