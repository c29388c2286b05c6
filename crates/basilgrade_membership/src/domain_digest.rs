//! Versions of domain summaries in a digest.

use serde::Deserialize;
use serde::Serialize;

use crate::tag;
use crate::term;

/// The version of a domain summary that a daemon holds.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DomainDigest {
    /// Hash of the domain's name.
    pub domain: tag::Tag,
    /// The term in which the held summary was written.
    pub term: term::Term,
    /// Version of the newest item held in that term.
    pub version: u64,
}
