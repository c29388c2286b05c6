//! Decisions on the path of a request: budgets, choice of upstream, limits, retries.

pub mod candidate;
pub mod refusal;
pub mod router;
