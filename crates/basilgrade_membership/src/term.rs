//! Who writes the summary of a domain.

use serde::Deserialize;
use serde::Serialize;

use crate::tag;

/// The period in which one daemon writes the summary of its domain.
///
/// Terms are ordered by number and then by writer. A later term replaces the summary as a whole,
/// so items of two writers are never mixed under one version counter.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Term {
    /// Number of the term, raised by each new writer.
    pub number: u64,
    /// The writer.
    pub writer: tag::Tag,
}
