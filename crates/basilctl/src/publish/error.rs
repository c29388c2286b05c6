//! Why a configuration was not published.

use std::error;
use std::fmt;

use basilgrade_config::limits;
use basilgrade_platform::error::ReadError;
use basilgrade_types::revision;

use crate::code;
use crate::report;
use crate::stream::error::StreamError;

/// Why a configuration was not published.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PublishError {
    /// Another revision than the base is in force.
    Lost(revision::Revision),
    /// The configuration in force is that of another deployment.
    Name(String, String),
    /// The log did not take the record.
    NotAppended(String),
    /// The canonical text does not say the same as the configuration.
    Print,
    /// The stream could not be read, and nothing was appended.
    Read(StreamError),
    /// The change does not fit the revision in force.
    Rejected(revision::Revision),
    /// The canonical text has this many bytes, more than the log can hold in one record.
    TooLong(usize),
    /// The publication with this id on this base may take effect.
    Unknown(uuid::Uuid, revision::Revision),
}

impl PublishError {
    /// What the exit code says.
    pub const fn code(&self) -> code::Code {
        match self {
            Self::Lost(_) => code::Code::Lost,
            Self::NotAppended(_) | Self::Read(StreamError::Read(ReadError::Unavailable(_))) => {
                code::Code::Unreachable
            }
            Self::Name(..) | Self::Print | Self::Read(_) | Self::Rejected(_) | Self::TooLong(_) => {
                code::Code::Problem
            }
            Self::Unknown(..) => code::Code::Unknown,
        }
    }

    pub(crate) fn report(&self) -> report::Report {
        report::Report::failure(self.code(), self.to_string())
    }
}

impl fmt::Display for PublishError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Lost(revision) => write!(
                f,
                "not published, because revision {revision} is in force; run `basilctl diff` and publish again"
            ),
            Self::Name(old, new) => write!(
                f,
                "not published, because deployment `{old}` is in force here and the file is for `{new}`; check `--platform`"
            ),
            Self::NotAppended(reason) => {
                write!(f, "not published: {reason}; publish again later")
            }
            Self::Print => f.write_str(
                "not published, because printing changes the configuration; report this fault of basilctl",
            ),
            Self::Read(error) => write!(f, "not published: {error}"),
            Self::Rejected(revision) => write!(
                f,
                "not published, because the change does not fit revision {revision}; report this fault of basilctl"
            ),
            Self::TooLong(length) => write!(
                f,
                "the canonical text has {length} bytes, more than a snapshot can hold; shorten it to {}",
                limits::PUBLISHED_BYTES
            ),
            Self::Unknown(id, base) => write!(
                f,
                "publication `{id}` on revision {base} may take effect; run `basilctl diff` before publishing again"
            ),
        }
    }
}

impl error::Error for PublishError {}
