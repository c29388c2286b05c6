//! Why a daemon gave no answer.

use std::net;

use quick_error::quick_error;

use crate::handshake;

quick_error! {
    /// Why a daemon gave no answer.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum ClientError {
        /// The daemon refused the call or its answer is malformed.
        Failed(reason: String) {
            display("the daemon did not answer the call: {}; see its log", reason)
            from(error: capnp::Error) -> (error.to_string())
        }
        /// One side does not accept the other.
        Refused(address: net::SocketAddr, reason: String) {
            display("`{}`: {}", address, reason)
        }
        /// No connection.
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
