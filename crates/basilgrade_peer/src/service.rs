//! The RPC interface between daemons.
//!
//! It uses tarpc, because clients and servers of tarpc can be shared between tasks and threads. The
//! admin interface uses capnp-rpc instead, because operators' tools need a schema that can be
//! extended compatibly.

// `tarpc::service` generates items without documentation.
#![allow(missing_docs)]

use basilgrade_claims::message as claims;
use basilgrade_journal::config_state;
use basilgrade_journal::control_state;
use basilgrade_journal::node;
use basilgrade_membership::message as membership;
use basilgrade_membership::node_record;
use basilgrade_types::id;
use basilgrade_types::offset;

use crate::transfer;

/// Calls between daemons.
///
/// All calls are idempotent: messages contain versions, epochs or attempt ids, by which the
/// receiver detects duplicates.
#[tarpc::service]
pub trait Peer {
    /// Returns the identity and address of the called daemon.
    ///
    /// The failure detector of the caller uses it to check whether the daemon can be reached
    /// directly.
    async fn contact() -> node_record::NodeRecord;
    /// Delivers a message of the membership protocol from the daemon on VM `from`.
    async fn gossip(from: id::VmId, message: membership::Message);
    /// Delivers a message of the claims protocol from the daemon process `from`.
    async fn claims(from: node::Node, message: claims::Message);
    /// Returns the records of log stream `config` from offset `from` on, or the state after them.
    async fn pull_config(from: offset::Offset) -> transfer::Transfer<config_state::ConfigState>;
    /// Returns the records of log stream `control` from offset `from` on, or the state after them.
    async fn pull_control(from: offset::Offset) -> transfer::Transfer<control_state::ControlState>;
}
