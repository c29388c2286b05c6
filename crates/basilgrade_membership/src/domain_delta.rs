//! Deltas of domain summaries.

use basilgrade_types::id;
use serde::Deserialize;
use serde::Serialize;

use crate::item_set_delta;
use crate::term;

/// Newer items of the summary of one domain.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct DomainDelta {
    pub domain: id::DomainId,
    /// The writer of the summary and its term.
    pub term: term::Term,
    /// The items that are newer than the version held by the receiver.
    pub delta: item_set_delta::ItemSetDelta,
}
