//! A pool with its share of a route's requests.

use basilgrade_types::id;

/// A pool that a route sends requests to.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteTarget {
    pub pool: id::PoolId,
    /// Share of the requests, relative to the other targets of the route.
    pub share: f64,
}
