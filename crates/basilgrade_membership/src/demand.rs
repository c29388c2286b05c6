//! Request rate of a customer across the daemons.

use basilgrade_types::rate;

/// Request rate of a customer, in the own domain and in the whole fleet.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CustomerDemand {
    /// Sum over the members of the own domain.
    pub domain: rate::RequestRate,
    /// Sum over all domains: the members of the own domain and the summaries of the others.
    pub fleet: rate::RequestRate,
}
