//! What a daemon does with calls from other daemons.

use basilgrade_claims::message as claims;
use basilgrade_journal::config_state;
use basilgrade_journal::control_state;
use basilgrade_journal::node;
use basilgrade_membership::message as membership;
use basilgrade_membership::node_record;
use basilgrade_types::id;
use basilgrade_types::offset;

use crate::transfer;

/// The border between links and the daemon behind them. No method waits for the network.
pub trait Handler: Send + Sync {
    /// This run of the daemon.
    fn contact(&self) -> node_record::NodeRecord;

    /// Takes a message of the membership protocol.
    fn gossip(&self, from: id::VmId, message: membership::Message);

    /// Takes a message of the claims protocol.
    fn claims(&self, from: node::Node, message: claims::Message);

    /// What stream `config` holds from `from` on.
    fn pull_config(&self, from: offset::Offset) -> transfer::Transfer<config_state::ConfigState>;

    /// What stream `control` holds from `from` on.
    fn pull_control(&self, from: offset::Offset)
    -> transfer::Transfer<control_state::ControlState>;
}
