//! The configuration in force and its parts.

pub mod configuration;
pub mod customer;
pub mod handle;
pub mod kind;
pub mod limits;
pub mod pool;
pub mod prompt;
pub mod rank;
pub mod route;
pub mod stage;
pub mod target;
