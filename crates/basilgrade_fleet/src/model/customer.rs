//! Customer that an API key identifies.

use basilgrade_types::id;

#[derive(Clone, Debug, PartialEq)]
pub struct Customer {
    /// Name of the customer; upstreams receive it in place of the key.
    pub name: id::CustomerId,
    /// Priority of the customer's requests, 0 the highest; it outranks the priority of the route.
    pub priority: Option<u8>,
}
