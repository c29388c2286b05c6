//! Stand-ins for the platform and for upstreams in tests, benchmarks and the quickstart.
//!
//! Each stand-in is a server on a loopback port that stops when its handle is dropped. The servers
//! use plain sockets, because an HTTP library cannot produce faults such as a truncated body or two
//! responses to one request.

pub mod caller;
pub mod engine;
pub mod execution;
pub mod fault;
pub mod fault_switch;
pub mod http_request;
pub mod http_response;
pub mod platform;
pub mod pool;
pub mod server;
pub mod service;
