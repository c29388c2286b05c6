//! Handler of calls from other daemons.

use std::sync;

use basilgrade_claims::message as claims;
use basilgrade_journal::config_state;
use basilgrade_journal::control_state;
use basilgrade_journal::node;
use basilgrade_membership::message as membership;
use basilgrade_membership::node_record;
use basilgrade_peer::handler;
use basilgrade_peer::transfer;
use basilgrade_types::id;
use basilgrade_types::offset;

use crate::cluster;
use crate::journal::streams;
use crate::ledger::slots;

/// Dispatches calls from other daemons to membership, claims and log replicas.
pub struct PeerHandler {
    /// Membership, which handles contacts and gossip.
    pub cluster: cluster::Cluster,
    /// Claims, which handle claim messages.
    pub ledger: slots::SlotLedger,
    /// Replicas of both log streams, which serve pulls.
    pub streams: sync::Arc<streams::Streams>,
}

impl handler::Handler for PeerHandler {
    fn contact(&self) -> node_record::NodeRecord {
        self.cluster.own_record()
    }

    fn gossip(&self, from: id::VmId, message: membership::Message) {
        self.cluster.receive(&from, message);
    }

    fn claims(&self, from: node::Node, message: claims::Message) {
        self.ledger.receive(&from, message);
    }

    fn pull_config(&self, from: offset::Offset) -> transfer::Transfer<config_state::ConfigState> {
        self.streams.config.transfer(from)
    }

    fn pull_control(
        &self,
        from: offset::Offset,
    ) -> transfer::Transfer<control_state::ControlState> {
        self.streams.control.transfer(from)
    }
}
