//! Errors of the platform.

use basilgrade_types::offset;
use quick_error::quick_error;

quick_error! {
    /// Why an append gave no offset.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum AppendError {
        /// The record is not in the log.
        NotAppended(reason: String) {
            display("record was not appended: {}; try again later", reason)
        }
        /// The record may be in the log; read back by its id before appending again.
        Unknown(reason: String) {
            display("record may have been appended: {}; read the log to find out", reason)
        }
    }
}

quick_error! {
    /// Why a read gave no answer.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum ReadError {
        /// The platform cannot be reached or answers too late.
        Unavailable(reason: String) {
            display("platform is unavailable: {}; try again later", reason)
        }
        /// Records before `first` are past retention.
        Expired(first: offset::Offset) {
            display("records before offset {} are past retention; start from a snapshot", first)
        }
        /// The answer is not in the agreed form.
        Malformed(reason: String) {
            display("platform sent a malformed answer: {}", reason)
        }
    }
}
