//! Failures of one HTTP call to the platform.

use quick_error::quick_error;

use crate::error;

quick_error! {
    /// Why a call gave no answer, by what may have happened at the platform.
    #[derive(Debug)]
    pub enum Failure {
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

impl From<Failure> for error::ReadError {
    fn from(failure: Failure) -> Self {
        match failure {
            Failure::Unsent(reason) | Failure::Broken(reason) => Self::Unavailable(reason),
            Failure::TooLarge(_) => Self::Malformed(failure.to_string()),
        }
    }
}

impl From<Failure> for error::AppendError {
    fn from(failure: Failure) -> Self {
        match failure {
            Failure::Unsent(reason) => Self::NotAppended(reason),
            Failure::Broken(_) | Failure::TooLarge(_) => Self::Unknown(failure.to_string()),
        }
    }
}
