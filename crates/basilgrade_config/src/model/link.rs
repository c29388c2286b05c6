//! Links between regions.

use basilgrade_types::clock;
use basilgrade_types::id;
use basilgrade_types::price;
use serde::Deserialize;
use serde::Serialize;

/// A link between two regions; it holds in both directions.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Link {
    /// One end.
    pub from: id::RegionId,
    /// The other end.
    pub to: id::RegionId,
    /// Price of 1 MiB over the link.
    pub price: price::Price,
    /// One-way latency.
    pub latency: clock::Millis,
}
