//! Interface of the weight store of the platform, which holds the weights of models.

use basilgrade_types::id;
use basilgrade_types::rate;
use basilgrade_types::size;
use futures::future;
use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;

use crate::error;

/// Delivery rate of the weight store and the models in it.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct StoreInfo {
    /// Total delivery rate, shared by all readers.
    pub rate: rate::ByteRate,
    /// Size of the weights by model.
    pub models: IndexMap<id::ModelId, size::ByteCount>,
}

/// Access to the description of the weight store.
///
/// Engines read the weights directly from the store. Daemons only plan these reads.
pub trait WeightStore: Send + Sync {
    /// Fetches the delivery rate and the model sizes.
    fn info(&self) -> future::BoxFuture<'_, Result<StoreInfo, error::ReadError>>;
}
