//! Hints about cached prompt prefixes.

use serde::Deserialize;
use serde::Serialize;

use crate::tag;

/// A daemon's hint that an upstream has a prompt prefix in its cache.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PrefixHint {
    /// Hash of the prefix.
    pub prefix: tag::Tag,
    /// Hash of the upstream's name.
    pub upstream: tag::Tag,
    /// Length of the cached prefix in tokens; 0 marks a tombstone.
    pub tokens: u32,
}
