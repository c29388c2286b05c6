//! Prompt of a generation request, as described by the caller's request headers.

use std::fmt;
use std::num;
use std::str;

use xxhash_rust::xxh3;

/// Length of a prompt and the parts that it shares with other prompts.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Prompt {
    /// Length of the prompt in tokens.
    pub tokens: u64,
    /// Maximum number of tokens to generate.
    pub max_output: u64,
    /// Parts in order; all but the last may occur in other prompts, and the last belongs to this
    /// request or its session.
    pub parts: Vec<Part>,
}

/// Hash of the name of a prompt part; printed with 16 hexadecimal digits.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct PartId(pub u64);

impl fmt::Display for PartId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl str::FromStr for PartId {
    type Err = num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u64::from_str_radix(text, 16).map(Self)
    }
}

/// Contiguous part of a prompt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Part {
    pub id: PartId,
    /// Length of the part in tokens.
    pub tokens: u64,
}

impl Part {
    /// Creates a part named `id`.
    pub fn new(id: &str, tokens: u64) -> Self {
        let id = PartId(xxh3::xxh3_64(id.as_bytes()));
        Self { id, tokens }
    }
}

impl Prompt {
    /// The last part that other prompts may share, or `None` if there is no such part.
    pub fn last_shared(&self) -> Option<Part> {
        let index = self.parts.len().checked_sub(2)?;
        self.parts.get(index).copied()
    }

    /// Ids of the parts that other prompts may share.
    pub fn shared_ids(&self) -> impl Iterator<Item = PartId> {
        let shared = self.parts.len().saturating_sub(1);
        self.parts[..shared].iter().map(|part| part.id)
    }

    /// Total tokens of the parts that other prompts may share.
    pub fn shared_tokens(&self) -> u64 {
        let shared = self.parts.len().saturating_sub(1);
        let tokens = self.parts[..shared].iter().map(|part| part.tokens);
        tokens.fold(0, u64::saturating_add)
    }
}
