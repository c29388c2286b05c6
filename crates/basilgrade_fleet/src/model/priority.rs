//! How urgent a request is.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// Route ranks that are told apart within one customer rank.
const ROUTE_RANKS: u8 = 3;

/// Customer rank of those who have none.
const MIDDLE: u8 = 1;

/// Urgency, 0 the highest.
///
/// The customer's rank goes before that of the route, which decides among customers of one rank.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct Priority(pub u8);

impl Priority {
    /// The urgency of a customer's request on a route.
    pub fn new(customer: Option<u8>, route: u8) -> Self {
        let customer = customer.unwrap_or(MIDDLE);
        let route = route.min(ROUTE_RANKS - 1);
        Self(customer.saturating_mul(ROUTE_RANKS).saturating_add(route))
    }
}

impl fmt::Display for Priority {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}
