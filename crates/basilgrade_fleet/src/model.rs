//! Data model of the configuration in force and of requests.

pub mod allowed_regions;
pub mod configuration;
pub mod customer;
pub mod entries;
pub mod fingerprint;
pub mod handle;
pub mod limits;
pub mod listed;
pub mod pool;
pub mod priority;
pub mod prompt;
pub mod request_kind;
pub mod route;
pub mod route_target;
pub mod stage;
