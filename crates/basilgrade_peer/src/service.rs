//! The calls that daemons make to each other.
//!
//! tarpc is used here because its clients and servers can be shared by many tasks and threads.
//! capnp-rpc is used towards operators' tools, which need a schema that can grow.

// The macro generates items without documentation.
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

/// Calls between daemons. Each is safe to repeat: messages carry versions, epochs or attempt ids.
#[tarpc::service]
pub trait Peer {
    /// Answers with the run of the daemon; an own contact attempt of the caller.
    async fn contact() -> node_record::NodeRecord;
    /// Delivers a message of the membership protocol.
    async fn gossip(from: id::VmId, message: membership::Message);
    /// Delivers a message of the claims protocol.
    async fn claims(from: node::Node, message: claims::Message);
    /// Returns what stream `config` holds from `from` on.
    async fn pull_config(from: offset::Offset) -> transfer::Transfer<config_state::ConfigState>;
    /// Returns what stream `control` holds from `from` on.
    async fn pull_control(from: offset::Offset) -> transfer::Transfer<control_state::ControlState>;
}
