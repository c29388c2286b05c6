//! The checked configuration: what operators declare, with every reference resolved.

pub mod customer;
pub mod deployment;
pub mod domain;
pub mod link;
pub mod pipeline;
pub mod placed_model;
pub mod pool;
pub mod service;
pub mod stage;
pub mod upstream;
pub mod weights;
