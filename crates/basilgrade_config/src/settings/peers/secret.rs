//! The secret shared by the daemons and `basilctl`.

use std::fmt;

use crate::value;

/// The minimum length of a secret in bytes; 16 random bytes are 128 bits.
pub const MIN_BYTES: usize = 16;

/// A shared secret; its `Debug` output omits the value.
#[derive(Clone, Eq, PartialEq)]
pub struct Secret(Vec<u8>);

impl Secret {
    /// Creates a secret from `text`; `None` if it is shorter than [`MIN_BYTES`].
    ///
    /// `FromStr` is not implemented, because its error type would contain the text.
    pub fn new(text: &str) -> Option<Self> {
        (text.len() >= MIN_BYTES).then(|| Self(text.as_bytes().to_vec()))
    }

    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(..)")
    }
}

pub(crate) fn read(text: &str) -> Result<Secret, value::Expected> {
    Secret::new(text).ok_or_else(|| format!("at least {MIN_BYTES} bytes").into())
}
