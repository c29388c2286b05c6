//! Decisions on the path of a request: deadline budgets, choice of an upstream, customer limits,
//! retries and hedges.

pub mod budget;
pub mod candidate;
pub mod health;
pub mod prefix;
pub mod priority;
pub mod refusal;
pub mod retry;
pub mod router;
pub mod share;
pub mod speed;
