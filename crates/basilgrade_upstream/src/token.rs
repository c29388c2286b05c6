//! Tokens of a generation stream.

/// One generated token.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Token {
    /// Position in the answer, from 0.
    pub offset: u64,
    /// Its text.
    pub text: String,
}
