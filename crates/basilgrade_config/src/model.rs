//! The validated configuration: what operators declare; every name that is used is declared.

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
