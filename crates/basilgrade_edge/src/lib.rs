//! The daemon of an entry VM on the users' platform.
//!
//! It takes callers' requests, runs the stages before them, and relays each to an upstream.

pub mod core;
pub mod daemon;
pub mod follow;
pub mod gather;
pub mod http;
pub mod listener;
pub mod logger;
pub mod metrics;
pub mod peers;
pub mod readiness;
pub mod serve;
pub mod settings;
pub mod view;
