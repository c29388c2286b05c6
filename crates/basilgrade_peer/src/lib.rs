//! Authenticated RPC between daemons: handshake, frames, and the client and server of the calls.

pub mod codec;
pub mod error;
pub mod handler;
pub mod handshake;
pub mod links;
pub mod listener;
pub mod postcard_format;
pub mod secret;
pub mod server;
pub mod service;
pub mod traffic;
pub mod transfer;
pub mod transport;
