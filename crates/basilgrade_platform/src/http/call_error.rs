//! Failures of one HTTP call to the platform.

use quick_error::quick_error;

use crate::error;

quick_error! {
    /// Why a call gave no answer, by what may have happened at the platform.
    #[derive(Debug)]
    pub enum CallError {
        /// No byte was sent.
        Unsent(reason: String) {
            display("{}", reason)
        }
        /// Bytes were sent and no complete answer arrived.
        Broken(reason: String) {
            display("{}", reason)
        }
        /// The answer is larger than allowed.
        TooLarge(limit: u64) {
            display("answer is larger than {} bytes", limit)
        }
    }
}

impl From<CallError> for error::ReadError {
    fn from(error: CallError) -> Self {
        match error {
            CallError::Unsent(reason) | CallError::Broken(reason) => Self::Unavailable(reason),
            CallError::TooLarge(_) => Self::Malformed(error.to_string()),
        }
    }
}

impl From<CallError> for error::AppendError {
    fn from(error: CallError) -> Self {
        match error {
            CallError::Unsent(reason) => Self::NotAppended(reason),
            CallError::Broken(_) | CallError::TooLarge(_) => Self::Unknown(error.to_string()),
        }
    }
}
