//! Why the stream could not be read.

use std::error;
use std::fmt;

use basilgrade_platform::error::ReadError;

/// Why the stream could not be read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StreamError {
    /// Retention has removed records, and no snapshot of them is left.
    Incomplete,
    /// The log gave no answer.
    Read(ReadError),
}

impl From<ReadError> for StreamError {
    fn from(error: ReadError) -> Self {
        Self::Read(error)
    }
}

impl fmt::Display for StreamError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Incomplete => f.write_str(
                "the log holds no snapshot of the configuration; wait until a daemon has appended one",
            ),
            Self::Read(error) => error.fmt(f),
        }
    }
}

impl error::Error for StreamError {}
