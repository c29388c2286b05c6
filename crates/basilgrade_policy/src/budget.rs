//! Division of a request's time over its stages.

pub mod plan;
pub mod planner;
pub mod quantiles;
