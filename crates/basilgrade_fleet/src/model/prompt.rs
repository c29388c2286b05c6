//! What is known of the prompt of a generation before it is read.

use xxhash_rust::xxh3;

/// Size and shared parts of a prompt.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Prompt {
    /// Tokens to read.
    pub tokens: u64,
    /// Most tokens to generate.
    pub max_output: u64,
    /// Parts in order; the last one belongs to the request or its session.
    pub parts: Vec<Part>,
}

/// A part of a prompt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Part {
    /// Hash of its id.
    pub id: u64,
    /// Its length in tokens.
    pub tokens: u64,
}

impl Part {
    /// A part named `id`.
    pub fn new(id: &str, tokens: u64) -> Self {
        let id = xxh3::xxh3_64(id.as_bytes());
        Self { id, tokens }
    }
}

impl Prompt {
    /// The last part that other requests may share.
    pub fn last_shared(&self) -> Option<Part> {
        let place = self.parts.len().checked_sub(2)?;
        self.parts.get(place).copied()
    }

    /// Tokens that other requests may share.
    pub fn shared_tokens(&self) -> u64 {
        let own = self.parts.len().saturating_sub(1);
        self.parts[..own].iter().map(|part| part.tokens).sum()
    }
}
