//! Messages to be sent.

use std::net;

use basilgrade_types::id;

use crate::message;

/// A message and where it goes.
///
/// It is sent at most once: the protocol repeats what is lost. A failure to connect is reported
/// with `Node::report_contact`.
#[derive(Clone, Debug, PartialEq)]
pub struct OutgoingMessage {
    /// The VM.
    pub vm: id::VmId,
    /// Its address, as last known from itself or from the VM list.
    pub address: net::SocketAddr,
    /// The message.
    pub message: message::Message,
}
