//! Newer items of a domain summary.

use basilgrade_types::id;
use serde::Deserialize;
use serde::Serialize;

use crate::item_set_delta;
use crate::term;

/// Newer items of the summary of one domain.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct DomainDelta {
    /// The domain.
    pub domain: id::DomainId,
    /// Who wrote them.
    pub term: term::Term,
    /// The items.
    pub delta: item_set_delta::ItemSetDelta,
}
