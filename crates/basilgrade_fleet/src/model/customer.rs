//! A customer, as named by an API key.

use basilgrade_types::id;

/// The holder of an API key.
#[derive(Clone, Debug, PartialEq)]
pub struct Customer {
    /// Its name; upstreams receive it in place of the key.
    pub name: id::CustomerId,
    /// Its rank, 0 the highest; it replaces the rank of the route.
    pub priority: Option<u8>,
}
