//! Errors of appends to and reads from the platform.

use basilgrade_types::offset;
use quick_error::quick_error;

quick_error! {
    /// The reason why an append to the log returned no offset.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum AppendError {
        /// The record was not appended, so appending it again cannot duplicate it.
        NotAppended(reason: String) {
            display("record was not appended to the log: {}; try again later", reason)
        }
        /// The record may be in the log. Search the log for its id before appending it again.
        Unknown(reason: String) {
            display("record may have been appended: {}; search the log for the record before appending it again", reason)
        }
    }
}

quick_error! {
    /// The reason why a read from the platform returned no result.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum ReadError {
        /// The platform cannot be reached, responds too late or with an error status.
        Unavailable(reason: String) {
            display("platform is unavailable: {}; try again later", reason)
        }
        /// The requested records are past retention; `first` is the first offset still retained.
        Expired(first: offset::Offset) {
            display("records before offset `{}` are past retention; start from a snapshot", first)
        }
        /// The response violates the protocol or is larger than allowed.
        Malformed(reason: String) {
            display(
                "platform sent a malformed response: {}; check the version of the platform",
                reason
            )
        }
    }
}
