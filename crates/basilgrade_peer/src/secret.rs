//! The secret that all daemons of a deployment share, and keys derived from it.

use std::fmt;
use std::str;

use basilgrade_types::parse;
use hmac::Mac;

/// The HMAC that authenticates peers and frames.
pub type HmacSha256 = hmac::Hmac<sha2::Sha256>;

/// The minimum length of a secret in bytes; shorter secrets can be guessed.
pub const MIN_BYTES: usize = 16;

/// A shared secret or a key derived from it; its `Debug` output omits the value.
#[derive(Clone)]
pub struct Secret {
    bytes: Vec<u8>,
}

impl Secret {
    /// Creates a secret from bytes whose length the parser of the settings has checked.
    pub fn from_bytes(bytes: &[u8]) -> Self {
        Self {
            bytes: bytes.to_vec(),
        }
    }

    /// An HMAC over `label` and `parts` under this secret.
    pub fn mac(&self, label: &str, parts: &[&[u8]]) -> HmacSha256 {
        let mut mac = <HmacSha256 as Mac>::new_from_slice(&self.bytes)
            .unwrap_or_else(|_| unreachable!("HMAC accepts keys of any length"));
        mac.update(label.as_bytes());
        for part in parts {
            mac.update(part);
        }
        mac
    }

    /// Derives the key for one direction of one connection.
    #[must_use]
    pub fn derive(&self, label: &str, parts: &[&[u8]]) -> Self {
        Self {
            bytes: self.mac(label, parts).finalize().into_bytes().to_vec(),
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
        if text.len() < MIN_BYTES {
            // The error must not contain the secret, because errors are logged.
            return Err(parse::ParseError::new("(hidden)", "at least 16 bytes"));
        }
        Ok(Self {
            bytes: text.as_bytes().to_vec(),
        })
    }
}
