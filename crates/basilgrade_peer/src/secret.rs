//! The secret that all daemons of a deployment share.

use std::fmt;
use std::str;

use basilgrade_types::parse;
use hmac::Mac;

/// The keyed hash used for authentication.
pub type Hash = hmac::Hmac<sha2::Sha256>;

/// Shortest secret, in bytes; shorter ones can be guessed.
pub const SECRET_MIN: usize = 16;

/// A shared secret; never printed.
#[derive(Clone)]
pub struct Secret {
    bytes: Vec<u8>,
}

impl Secret {
    /// The secret with these bytes, whose length the settings have checked.
    pub fn from_bytes(bytes: &[u8]) -> Self {
        Self {
            bytes: bytes.to_vec(),
        }
    }

    /// A keyed hash over `label` and `parts`.
    pub fn hash(&self, label: &str, parts: &[&[u8]]) -> Hash {
        // A keyed hash takes keys of any length, so this cannot fail.
        let mut hash = <Hash as Mac>::new_from_slice(&self.bytes)
            .unwrap_or_else(|_| unreachable!("HMAC accepts keys of any length"));
        hash.update(label.as_bytes());
        for part in parts {
            hash.update(part);
        }
        hash
    }

    /// A secret derived from this one for one direction of one connection.
    #[must_use]
    pub fn derive(&self, label: &str, parts: &[&[u8]]) -> Self {
        Self {
            bytes: self.hash(label, parts).finalize().into_bytes().to_vec(),
        }
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(..)")
    }
}

impl str::FromStr for Secret {
    type Err = parse::ParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        if text.len() < SECRET_MIN {
            // The text itself is left out of the error, as errors are logged.
            return Err(parse::ParseError::new("(hidden)", "at least 16 bytes"));
        }
        Ok(Self {
            bytes: text.as_bytes().to_vec(),
        })
    }
}
