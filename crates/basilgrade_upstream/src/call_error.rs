//! Errors of calls to upstreams.

use std::net;

use basilgrade_types::verdict;
use quick_error::quick_error;

quick_error! {
    /// The reason why a call returned no usable response.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum CallError {
        /// No connection could be established, so no byte of the call was sent.
        Connect(address: net::SocketAddr, reason: String) {
            display(
                "cannot connect to upstream `{}`: {}; check that the upstream listens there",
                address, reason
            )
        }
        /// The upstream responded that it did not run the call; `leaving` if it is also leaving.
        Refused(address: net::SocketAddr, leaving: bool) {
            display(
                "upstream `{}` refused the call without running it; the call can be retried",
                address
            )
        }
        /// The upstream is leaving and its response does not tell whether the call ran.
        Leaving(address: net::SocketAddr) {
            display(
                "upstream `{}` is leaving and may have run the call; retry only idempotent calls",
                address
            )
        }
        /// No complete response arrived within the time left of the call.
        Timeout(address: net::SocketAddr) {
            display(
                "upstream `{}` sent no complete response in time; check the load of the upstream",
                address
            )
        }
        /// The connection failed after bytes of the call were sent.
        Broken(address: net::SocketAddr, reason: String) {
            display(
                "connection to upstream `{}` broke: {}; check whether the upstream restarted",
                address, reason
            )
        }
        /// The response belongs to another call; `header` is the header that does not match.
        Mismatch(address: net::SocketAddr, header: &'static str) {
            display(
                "upstream `{}` responded to another call; make the upstream echo header `{}`",
                address, header
            )
        }
        /// The response is incomplete or violates the protocol.
        Malformed(address: net::SocketAddr, reason: String) {
            display(
                "upstream `{}` sent a malformed response: {}; check the version of the upstream",
                address, reason
            )
        }
        /// The upstream responded with an error status.
        Status(address: net::SocketAddr, status: u16) {
            display(
                "upstream `{}` responded with status `{}`; see the log of the upstream",
                address, status
            )
        }
        /// The body of the response is larger than `limit` bytes.
        TooLarge(address: net::SocketAddr, limit: u64) {
            display(
                "upstream `{}` sent a body of over {} bytes; shorten the body or raise the limit",
                address, limit
            )
        }
        /// The call was abandoned before a byte was sent, for a reason on the side of the client.
        Unsent(address: net::SocketAddr, reason: String) {
            display("call to upstream `{}` was not sent: {}", address, reason)
        }
    }
}

impl CallError {
    /// Whether the upstream announced that it is leaving.
    pub fn is_leaving(&self) -> bool {
        matches!(self, Self::Leaving(..) | Self::Refused(_, true))
    }

    /// Whether the upstream may have run the call.
    pub fn verdict(&self) -> verdict::Verdict {
        match self {
            Self::Connect(..) | Self::Refused(..) | Self::Unsent(..) => verdict::Verdict::NotRun,
            Self::Broken(..)
            | Self::Leaving(..)
            | Self::Malformed(..)
            | Self::Mismatch(..)
            | Self::Status(..)
            | Self::Timeout(..)
            | Self::TooLarge(..) => verdict::Verdict::MayHaveRun,
        }
    }
}
