//! Network links between regions.

use basilgrade_types::clock;
use basilgrade_types::id;
use basilgrade_types::price;
use serde::Deserialize;
use serde::Serialize;

/// A network link between two regions; price and latency apply to both directions.
///
/// The parser stores the region names in alphabetical order.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Link {
    /// The region whose name sorts first.
    pub from: id::RegionId,
    /// The region whose name sorts second.
    pub to: id::RegionId,
    /// The price of sending 1 MiB over the link, in millionths of the currency.
    pub price: price::Price,
    /// The one-way latency.
    pub latency: clock::Millis,
}
