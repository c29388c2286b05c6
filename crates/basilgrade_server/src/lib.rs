//! The daemon: caller interface, pipeline executor, background tasks, metrics and shutdown.

mod assembly;
pub mod background;
pub mod caller;
pub mod cluster;
pub mod core;
pub mod daemon;
pub mod decisions;
pub mod directory;
pub mod exec;
pub mod journal;
pub mod ledger;
pub mod limits;
pub mod listener;
pub mod logger;
pub mod metrics;
pub mod operator;
pub mod peer_handler;
pub mod platform;
pub mod serve;
pub mod view;
