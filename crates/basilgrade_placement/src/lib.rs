//! Placement of models on engines.
//!
//! This crate performs no I/O: time, load reports, demand and the properties of the weight store
//! are arguments.
//! Each failure domain has one placement writer, which runs a [`planner::Planner`] for the engines
//! of the domain.

pub mod allotment;
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

mod desired_state;
mod fleet;
mod load;
