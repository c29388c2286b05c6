//! Orders to engines.

use basilgrade_types::fence;
use basilgrade_types::id;
use serde::Deserialize;
use serde::Serialize;

/// The state that an engine is to reach; repeated until its load report shows it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Order {
    /// Fencing number: offset of the lease under which the order is sent.
    pub fence: fence::Fence,
    /// Models, adapters and versions to have loaded.
    pub models: Vec<id::ModelId>,
}
