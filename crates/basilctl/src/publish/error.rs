//! Errors of publications.

use std::error;
use std::fmt;

use basilgrade_config::limits;
use basilgrade_platform::error::ReadError;
use basilgrade_types::revision;

use crate::code;
use crate::report;
use crate::stream::error::StreamError;

/// The reason why a configuration was not published, or why the outcome is unknown.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PublishError {
    /// This revision is in force instead of the base of the publication.
    Lost(revision::Revision),
    /// The configuration in force is for the first of these two deployments, the new configuration
    /// for the second.
    Name(String, String),
    /// The log did not append the record, for the given reason.
    NotAppended(String),
    /// The canonical text does not parse as an equal configuration.
    Print,
    /// Log stream `config` could not be read, and nothing was appended.
    Read(StreamError),
    /// The delta does not apply to the text of the given revision, which is in force.
    Rejected(revision::Revision),
    /// The canonical text has this many bytes, more than [`limits::PUBLISHED_BYTES`].
    TooLong(usize),
    /// The outcome of the publication with this id and base revision is unknown.
    Unknown(uuid::Uuid, revision::Revision),
}

impl PublishError {
    /// The exit code of basilctl for this error.
    pub const fn exit_code(&self) -> code::ExitCode {
        match self {
            Self::Lost(_) => code::ExitCode::Lost,
            Self::NotAppended(_) | Self::Read(StreamError::Read(ReadError::Unavailable(_))) => {
                code::ExitCode::Unreachable
            }
            Self::Name(..) | Self::Print | Self::Read(_) | Self::Rejected(_) | Self::TooLong(_) => {
                code::ExitCode::Problem
            }
            Self::Unknown(..) => code::ExitCode::Unknown,
        }
    }

    pub(crate) fn report(&self) -> report::Report {
        report::Report::failure(self.exit_code(), self.to_string())
    }
}

impl fmt::Display for PublishError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Lost(revision) => write!(
                f,
                "not published: revision `{revision}` is in force, not the base of the publication; run `basilctl diff` and publish again"
            ),
            Self::Name(old, new) => write!(
                f,
                "not published: the configuration in force is for deployment `{old}`, the file for `{new}`; check `--platform` and the file"
            ),
            Self::NotAppended(reason) => {
                write!(f, "not published: {reason}; publish again later")
            }
            Self::Print => f.write_str(
                "not published: the canonical text does not parse as the same configuration; report this bug of basilctl",
            ),
            Self::Read(error) => write!(f, "not published: {error}"),
            Self::Rejected(revision) => write!(
                f,
                "not published: the delta does not apply to revision `{revision}`; report this bug of basilctl"
            ),
            Self::TooLong(byte_count) => write!(
                f,
                "not published: the canonical text has `{byte_count}` bytes, too many for a snapshot; shorten the configuration to at most `{}` bytes",
                limits::PUBLISHED_BYTES
            ),
            Self::Unknown(id, base) => write!(
                f,
                "outcome of publication `{id}` on revision `{base}` is unknown, and it may still take effect; run `basilctl diff` before publishing again"
            ),
        }
    }
}

impl error::Error for PublishError {}
