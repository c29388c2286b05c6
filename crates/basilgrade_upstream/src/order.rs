//! Orders that tell engines which weights to load.

use basilgrade_types::fence;
use basilgrade_types::id;
use serde::Deserialize;
use serde::Serialize;

/// The desired state of an engine; sent repeatedly until a load report of the engine shows it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Order {
    /// Fencing number: log offset of the lease under which the order is sent.
    pub fence: fence::Fence,
    /// All weights to have loaded: models, adapters and versions.
    pub models: Vec<id::ModelId>,
}
