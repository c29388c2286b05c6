//! Exit codes of basilctl.

use std::process;

/// The result of a command, as reported to scripts by the exit code of the process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ExitCode {
    /// The command succeeded.
    Success,
    /// An input file, the request or the response is invalid, or the requested data does not exist.
    Problem,
    /// The command line is invalid.
    Usage,
    /// A configuration of the platform cannot be read, or is no JSON of the expected form.
    Unreadable,
    /// The platform or the daemon cannot be reached or refuses the command; nothing was changed.
    Unreachable,
    /// Another publication took effect first, so this publication never takes effect.
    Lost,
    /// The outcome is unknown: the command may have taken effect.
    Unknown,
}

impl ExitCode {
    /// The number that the process returns to its parent.
    pub const fn number(self) -> u8 {
        match self {
            Self::Success => 0,
            Self::Problem => 1,
            // Both mean that nothing was checked or done.
            Self::Usage | Self::Unreadable => 2,
            Self::Unreachable => 3,
            Self::Lost => 4,
            Self::Unknown => 5,
        }
    }
}

impl From<ExitCode> for process::ExitCode {
    fn from(code: ExitCode) -> Self {
        Self::from(code.number())
    }
}
