//! Fair shares of customers, without a counter that daemons would have to agree on.

pub mod customer_demand;
pub mod customer_shares;
pub mod pool_pressure;
pub mod token_bucket;
