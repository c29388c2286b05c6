//! Failures of one HTTP call to the platform.

use quick_error::quick_error;

use crate::error;

quick_error! {
    /// The reason why a call got no response, by whether the platform may have received the call.
    #[derive(Debug)]
    pub enum Failure {
        /// No byte of the call was sent.
        Unsent(reason: String) {
            display("{}", reason)
        }
        /// Bytes of the call were sent, but no complete response arrived.
        Broken(reason: String) {
            display("{}", reason)
        }
        /// The body of the response is larger than `limit` bytes.
        TooLarge(limit: u64) {
            display("response body is larger than the limit of `{}` bytes", limit)
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
