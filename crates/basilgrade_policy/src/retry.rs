//! Retries of failed calls, and hedges: duplicate calls sent while a slow call is still in flight.

pub mod backoff;
pub mod budget;
pub mod hedge;
pub mod retry_rules;
