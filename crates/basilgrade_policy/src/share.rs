//! Fair shares of customers, enforced by every daemon without a counter shared between daemons.

pub mod bucket;
pub mod demand;
pub mod pressure;
pub mod shares;
