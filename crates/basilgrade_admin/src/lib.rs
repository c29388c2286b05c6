//! Interface between operators' tools and a daemon, over Cap'n Proto RPC.

pub mod admin;
pub mod client;
pub mod configuration;
pub mod handshake;
pub mod server;
pub mod status;

mod wire;

// Generated from `schema/admin.capnp`; the generated code refers to itself by this path.
#[allow(
    clippy::all,
    clippy::pedantic,
    missing_docs,
    unreachable_pub,
    reason = "generated code"
)]
#[rustfmt::skip]
mod admin_capnp;

pub use admin::Admin;
pub use client::Client;
pub use server::Server;
