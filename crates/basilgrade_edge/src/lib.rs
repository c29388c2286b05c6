//! The daemon of an entry VM on the users' platform.
//!
//! The daemon accepts callers' requests, has the stages of each request run, and forwards the
//! request to an upstream.

pub mod balance;
pub mod core;
pub mod daemon;
pub mod follow;
pub mod gather;
pub mod http;
pub mod listener;
pub mod logger;
pub mod metrics;
pub mod peers;
pub mod permits;
pub mod readiness;
pub mod request;
pub mod serve;
pub mod settings;
pub mod tunnel;
pub mod view;
