//! Messages that the caller has to send.

use std::net;

use basilgrade_types::id;

use crate::message;

/// A message with its destination.
///
/// The caller sends the message at most once, because the protocol itself recovers lost messages.
/// It reports a connection failure with `Node::report_contact`.
#[derive(Clone, Debug, PartialEq)]
pub struct Outgoing {
    /// VM of the receiving daemon.
    pub vm: id::VmId,
    /// Address of the receiving daemon, as last announced by the daemon itself or by the VM list.
    pub address: net::SocketAddr,
    pub message: message::Message,
}
