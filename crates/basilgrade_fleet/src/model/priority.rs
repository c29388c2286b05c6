//! Priority of a request.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// Route priorities that are distinguished within one customer priority.
const ROUTE_LEVELS: u8 = 3;

/// Customer priority that is assumed for requests without one.
const MIDDLE: u8 = 1;

/// Priority of a request, 0 the highest.
///
/// Requests are ordered by the customer's priority, then by that of the route.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct Priority(pub u8);

impl Priority {
    /// The highest priority.
    pub const HIGHEST: Self = Self(0);

    /// Combines the priority of the customer, if any, with that of the route.
    pub fn new(customer: Option<u8>, route: u8) -> Self {
        let customer = customer.unwrap_or(MIDDLE);
        let route = route.min(ROUTE_LEVELS - 1);
        Self(customer.saturating_mul(ROUTE_LEVELS).saturating_add(route))
    }
}

impl fmt::Display for Priority {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}
