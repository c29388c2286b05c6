//! Small stand-ins of the platform and of upstreams for tests, benchmarks and the quickstart.
//!
//! Each is a server on a loopback port that stops when its handle is dropped. The servers are
//! written on plain sockets, because faults such as a short body or two answers to one request
//! cannot be produced with an HTTP library.

pub mod caller;
pub mod engine;
pub mod execution;
pub mod fault;
pub mod fault_injector;
pub mod http_request;
pub mod http_response;
pub mod platform;
pub mod pool;
pub mod server;
pub mod service;
