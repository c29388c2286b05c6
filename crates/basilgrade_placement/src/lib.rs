//! Placement of models on engines.
//!
//! The code decides only: time, load reports, demand and the weight store's data are arguments.
//! Each failure domain has one writer, which runs one [`planner::Planner`] for the domain's engines.

pub mod allocation;
pub mod assignment;
pub mod budget;
pub mod decision;
pub mod demand;
pub mod engine;
pub mod meter;
pub mod plan;
pub mod planner;
pub mod store;
pub mod targets;
pub mod view;

mod fleet;
mod load;
mod ordered;
