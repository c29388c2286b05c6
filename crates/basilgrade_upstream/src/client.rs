//! The HTTP client for upstreams.

mod cancel;
mod connection;
pub mod counters;
mod exchange;
pub mod http_upstream;
mod identity;
mod pool;
pub mod settings;
mod shared;
mod sse;
mod token_stream;
mod whole;

pub use counters::Counters;
pub use http_upstream::HttpUpstream;
pub use settings::Settings;
