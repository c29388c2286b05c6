//! Connections to upstreams through other daemons, for a daemon that is partitioned from them.
//!
//! The daemon that forwards passes bytes on and decides nothing: attempts, permits, deadlines and
//! verdicts stay with the daemon that opened the tunnel. It connects directly to a registered
//! upstream that accepts requests and never through a third daemon.

pub mod dialer;
pub mod forwarder;
pub mod message;
pub mod stream;
