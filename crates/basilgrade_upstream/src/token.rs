//! Tokens of a generation stream.

/// One generated token of a completion.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Token {
    /// Position in the completion, from 0.
    pub offset: u64,
    pub text: String,
}
