//! Decisions on the path of a request: budgets, choice of upstream, limits, retries.

pub mod budget;
pub mod candidate;
pub mod health;
pub mod prefix;
pub mod priority;
pub mod refusal;
pub mod retry;
pub mod router;
pub mod share;
pub mod slowdown;
