//! SHA-256 digests of configuration texts.

use std::fmt;
use std::str;

use basilgrade_types::parse;
use sha2::Digest as _;

/// The SHA-256 digest of a text, printed and parsed as 64 lower-case hexadecimal digits.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Digest([u8; 32]);

impl Digest {
    /// Computes the digest of the UTF-8 bytes of `text`.
    pub fn of(text: &str) -> Self {
        Self(sha2::Sha256::digest(text.as_bytes()).into())
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl str::FromStr for Digest {
    type Err = parse::ParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let invalid = || parse::ParseError::new(text, "64 lower-case hexadecimal digits");
        let digit = |byte: u8| matches!(byte, b'0'..=b'9' | b'a'..=b'f');
        if text.len() != 64 || !text.bytes().all(digit) {
            return Err(invalid());
        }
        let mut bytes = [0; 32];
        for (index, byte) in bytes.iter_mut().enumerate() {
            let pair = &text[2 * index..2 * index + 2];
            *byte = u8::from_str_radix(pair, 16).map_err(|_| invalid())?;
        }
        Ok(Self(bytes))
    }
}
