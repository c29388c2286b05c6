//! Where a prompt prefix is cached.

use serde::Deserialize;
use serde::Serialize;

use crate::tag;

/// An observer's hint that an upstream holds a prefix.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PrefixHint {
    /// Tag of the prefix hash.
    pub prefix: tag::Tag,
    /// Tag of the upstream's name.
    pub upstream: tag::Tag,
    /// Cached length in tokens; 0 withdraws the hint.
    pub tokens: u32,
}
