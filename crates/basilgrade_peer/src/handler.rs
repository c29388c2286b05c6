//! Interface of a daemon to the calls of other daemons.

use basilgrade_claims::message as claims;
use basilgrade_journal::config_state;
use basilgrade_journal::control_state;
use basilgrade_journal::node;
use basilgrade_membership::message as membership;
use basilgrade_membership::node_record;
use basilgrade_types::id;
use basilgrade_types::offset;

use crate::transfer;

/// Handles the calls of other daemons, received by [`crate::server::PeerServer`].
///
/// The methods must not block on I/O, because they run on the tasks that serve the calls.
pub trait Handler: Send + Sync {
    /// Returns the identity and address of this run of the daemon.
    fn contact(&self) -> node_record::NodeRecord;

    /// Processes a message of the membership protocol, sent by the daemon on VM `from`.
    fn gossip(&self, from: id::VmId, message: membership::Message);

    /// Processes a message of the claims protocol, sent by the daemon process `from`.
    fn claims(&self, from: node::Node, message: claims::Message);

    /// Returns the records of log stream `config` from offset `from` on, or the state after them.
    fn pull_config(&self, from: offset::Offset) -> transfer::Transfer<config_state::ConfigState>;

    /// Returns the records of log stream `control` from offset `from` on, or the state after them.
    fn pull_control(&self, from: offset::Offset)
    -> transfer::Transfer<control_state::ControlState>;
}
