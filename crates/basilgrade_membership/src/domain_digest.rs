//! The extent of a domain summary in a digest.

use serde::Deserialize;
use serde::Serialize;

use crate::tag;
use crate::term;

/// Which state of a domain's summary a daemon holds.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DomainDigest {
    /// Tag of the domain's name.
    pub domain: tag::Tag,
    /// Who writes the summary.
    pub term: term::Term,
    /// Version of the newest item held under that term.
    pub version: u64,
}
