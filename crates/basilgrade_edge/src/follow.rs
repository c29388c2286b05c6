//! Following the platform's store: configuration, upstreams and daemons.
//!
//! Every daemon keeps a mirror of the newest records of each topic. It reads the store itself; when
//! the store does not answer it, it takes newer mirrors from other daemons. What it has learned
//! never goes back.

pub mod mirror;
pub mod mirrors;
pub mod origin;
pub mod registration;
pub mod topic_reader;
