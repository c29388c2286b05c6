//! The HTTP client for upstreams.
