//! Terms of domain summary writers.

use serde::Deserialize;
use serde::Serialize;

use crate::tag;

/// A period during which one daemon writes the summary of its domain.
///
/// Terms are ordered by number and then by writer. A later term replaces the whole summary, so
/// items of two writers are never mixed under one version counter.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Term {
    /// Number of the term; each new writer increments it.
    pub number: u64,
    /// Hash of the VM name and incarnation of the writing daemon.
    pub writer: tag::Tag,
}
