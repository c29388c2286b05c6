//! Division of a request's time over its stages.

pub mod planner;
pub mod stage_plan;
pub mod time_quantiles;
