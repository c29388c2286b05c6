//! Admin interface of a daemon: Cap'n Proto RPC between the daemon and operators' tools.

pub mod admin;
pub mod client;
pub mod configuration;
pub mod handshake;
pub mod server;
pub mod status;

mod wire;

// Generated from `schema/admin.capnp`. The module must be at the root of the package, because the
// generated code refers to itself by this path.
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
