//! The secret shared by daemons and operators.

use std::fmt;

use crate::value;

/// The shortest secret, in bytes: 128 bits if it is random.
pub const MIN_BYTES: usize = 16;

/// A shared secret; it is never printed.
#[derive(Clone, Eq, PartialEq)]
pub struct Secret(Vec<u8>);

impl Secret {
    /// The secret with this text, unless it is too short.
    ///
    /// There is no `FromStr`, because its error would repeat the text.
    pub fn new(text: &str) -> Option<Self> {
        (text.len() >= MIN_BYTES).then(|| Self(text.as_bytes().to_vec()))
    }

    /// The bytes of the secret.
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
