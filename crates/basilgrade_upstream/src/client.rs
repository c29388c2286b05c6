//! HTTP/1.1 client for upstreams.

mod cancel;
mod connection;
pub mod counters;
mod exchange;
pub mod http_upstream;
mod identity;
mod idle_pool;
pub mod settings;
mod shared_state;
mod sse;
mod token_stream;
mod whole_body;

pub use counters::Counters;
pub use http_upstream::HttpUpstream;
pub use settings::Settings;
