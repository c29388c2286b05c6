//! Errors of reading log stream `config`.

use std::error;
use std::fmt;

use basilgrade_platform::error::ReadError;

/// The reason why log stream `config` could not be read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StreamError {
    /// Retention has removed records, and the log contains no snapshot that includes them.
    Incomplete,
    /// A read from the log failed.
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
                "records of stream `config` are past retention and the log has no snapshot that includes them; try again when a daemon has appended a snapshot",
            ),
            Self::Read(error) => error.fmt(f),
        }
    }
}

impl error::Error for StreamError {}
