//! Authenticated messages between daemons.

pub mod codec;
pub mod error;
pub mod handshake;
pub mod postcard_format;
pub mod secret;
pub mod transport;
