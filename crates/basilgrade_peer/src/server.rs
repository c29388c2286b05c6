//! The server side of [`crate::service::Peer`].

use std::sync;

use basilgrade_claims::message as claims;
use basilgrade_journal::config_state;
use basilgrade_journal::control_state;
use basilgrade_journal::node;
use basilgrade_membership::message as membership;
use basilgrade_membership::node_record;
use basilgrade_types::id;
use basilgrade_types::offset;
use tarpc::context;

use crate::handler;
use crate::service;
use crate::transfer;

/// Forwards the calls that a daemon receives from other daemons to its handler.
#[derive(Clone)]
pub struct PeerServer {
    handler: sync::Arc<dyn handler::Handler>,
}

impl PeerServer {
    /// Creates a server that forwards calls to `handler`.
    pub fn new(handler: sync::Arc<dyn handler::Handler>) -> Self {
        Self { handler }
    }
}

impl service::Peer for PeerServer {
    async fn contact(self, _: context::Context) -> node_record::NodeRecord {
        self.handler.contact()
    }

    async fn gossip(self, _: context::Context, from: id::VmId, message: membership::Message) {
        self.handler.gossip(from, message);
    }

    async fn claims(self, _: context::Context, from: node::Node, message: claims::Message) {
        self.handler.claims(from, message);
    }

    async fn pull_config(
        self,
        _: context::Context,
        from: offset::Offset,
    ) -> transfer::Transfer<config_state::ConfigState> {
        self.handler.pull_config(from)
    }

    async fn pull_control(
        self,
        _: context::Context,
        from: offset::Offset,
    ) -> transfer::Transfer<control_state::ControlState> {
        self.handler.pull_control(from)
    }
}
