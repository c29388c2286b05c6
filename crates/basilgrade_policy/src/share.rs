//! Fair shares of customers, without a counter that daemons would have to agree on.

pub mod bucket;
pub mod demand;
pub mod pressure;
pub mod shares;
