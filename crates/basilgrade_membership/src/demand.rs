//! Demand of a customer.

use basilgrade_types::rate;

/// How much of a customer's demand arrives where.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CustomerDemand {
    /// At the members of the own domain.
    pub domain: rate::RequestRate,
    /// At all domains, by their summaries and the own members.
    pub fleet: rate::RequestRate,
}
