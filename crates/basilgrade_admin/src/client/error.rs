//! Errors of calls from operators' tools to a daemon.

use std::net;

use quick_error::quick_error;

use crate::handshake;

quick_error! {
    /// The error of a call to a daemon, or of the connection to it.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum ClientError {
        /// The daemon did not respond to the call, refused it, or sent a malformed response.
        Failed(reason: String) {
            display("the call to the daemon failed: {}; see the log of the daemon", reason)
            from(error: capnp::Error) -> (error.to_string())
        }
        /// Tool and daemon have different secrets, or the address is not an admin address.
        Refused(address: net::SocketAddr, reason: String) {
            display("`{}`: {}", address, reason)
        }
        /// The connection to the daemon could not be established.
        Unreachable(address: net::SocketAddr, reason: String) {
            display("`{}` cannot be reached: {}; check the address and that the daemon runs", address, reason)
        }
    }
}

impl ClientError {
    pub(crate) fn handshake(address: net::SocketAddr, error: &handshake::HandshakeError) -> Self {
        match error {
            handshake::HandshakeError::Io(error) => Self::Unreachable(address, error.to_string()),
            _ => Self::Refused(address, error.to_string()),
        }
    }
}
