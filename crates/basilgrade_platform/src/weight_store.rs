//! The platform's store of model weights.

use basilgrade_types::id;
use basilgrade_types::rate;
use basilgrade_types::size;
use futures::future;
use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;

use crate::error;

/// What the store holds and how fast it delivers, over all readers together.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct StoreInfo {
    /// Delivery rate shared by all readers.
    pub rate: rate::ByteRate,
    /// Size of the weights of each model.
    pub models: IndexMap<id::ModelId, size::ByteCount>,
}

/// The store of model weights. Engines read it themselves; the system only plans their reads.
pub trait WeightStore: Send + Sync {
    /// Fetches rate and sizes.
    fn info(&self) -> future::BoxFuture<'_, Result<StoreInfo, error::ReadError>>;
}
