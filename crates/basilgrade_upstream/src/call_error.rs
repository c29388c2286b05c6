//! Errors of calls to upstreams.

use std::net;

use basilgrade_types::verdict;
use quick_error::quick_error;

quick_error! {
    /// Why a call gave no usable answer.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum CallError {
        /// No connection could be made, so no byte was sent.
        Connect(address: net::SocketAddr, reason: String) {
            display("cannot connect to `{}`: {}; check that the upstream listens there", address, reason)
        }
        /// The upstream said that it did not run the call.
        Refused(address: net::SocketAddr, leaving: bool) {
            display("`{}` refused the call without running it", address)
        }
        /// The upstream is leaving and did not say whether it ran the call.
        Leaving(address: net::SocketAddr) {
            display("`{}` is leaving and did not say whether the call ran", address)
        }
        /// No complete answer in time.
        Timeout(address: net::SocketAddr) {
            display("`{}` did not answer in time", address)
        }
        /// The connection broke after bytes were sent.
        Broken(address: net::SocketAddr, reason: String) {
            display("connection to `{}` broke: {}", address, reason)
        }
        /// The answer belongs to another call.
        Mismatch(address: net::SocketAddr, header: &'static str) {
            display("`{}` answered another call: header `{}` does not match", address, header)
        }
        /// The answer is not complete or not in the agreed form.
        Malformed(address: net::SocketAddr, reason: String) {
            display("`{}` sent a malformed answer: {}", address, reason)
        }
        /// The upstream answered with a server error.
        Status(address: net::SocketAddr, status: u16) {
            display("`{}` answered with status {}", address, status)
        }
        /// The answer is larger than allowed.
        TooLarge(address: net::SocketAddr, limit: u64) {
            display("`{}` sent more than {} bytes; raise the limit or shorten the answer", address, limit)
        }
        /// The call was given up before a byte was sent, for a reason that is not the upstream's.
        Unsent(address: net::SocketAddr, reason: String) {
            display("call to `{}` was not sent: {}", address, reason)
        }
    }
}

impl CallError {
    /// Whether the upstream said that it is leaving.
    pub fn is_leaving(&self) -> bool {
        matches!(self, Self::Leaving(..) | Self::Refused(_, true))
    }

    /// Whether the call may have run.
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
