//! Division of a request's time until the deadline over its stages.

pub mod plan;
pub mod planner;
pub mod quantiles;
