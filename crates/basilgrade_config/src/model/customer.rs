//! Customers and their quotas.

use basilgrade_types::id;
use basilgrade_types::rate;
use serde::Deserialize;
use serde::Serialize;

/// A customer and its request quota, which applies to the whole deployment.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Customer {
    pub id: id::CustomerId,
    /// The allowed rate in requests per second, summed over all daemons.
    pub rate: rate::RequestRate,
    /// The number of requests that may exceed the rate at once (the depth of the token bucket).
    pub burst: u32,
    /// The pipelines and services that the customer may use; empty means all.
    pub targets: Vec<String>,
}
