//! Customers.

use basilgrade_types::id;
use basilgrade_types::rate;
use serde::Deserialize;
use serde::Serialize;

/// A customer and its quota over the whole deployment.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Customer {
    /// The name of the customer.
    pub id: id::CustomerId,
    /// Requests per second over all daemons.
    pub rate: rate::RequestRate,
    /// Requests above the rate that may come at once.
    pub burst: u32,
    /// Pipelines and services it may use; empty means all.
    pub targets: Vec<String>,
}
