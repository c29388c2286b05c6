//! Replication of configuration, upstreams and daemons from the platform's store.
//!
//! Every daemon keeps a mirror of the newest records of each topic. One daemon of each failure
//! domain reads the store for the others. A daemon that the store does not answer fetches newer
//! records from other daemons. The position of a mirror never decreases.

mod backoff;
pub mod evidence_log;
pub mod mirror;
pub mod mirrors;
pub mod origin;
pub mod position;
pub mod reader;
pub mod register;
pub mod registrations;
mod restored;
pub mod stream_log;
pub mod stream_records;
pub mod unreadable;
