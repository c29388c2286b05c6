//! Exit codes.

use std::process;

/// What the exit code of the process says.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Code {
    /// Done.
    Success,
    /// Something is wrong with the file, the request or the answer.
    Problem,
    /// The command line is not valid.
    Usage,
    /// The platform or the daemon cannot be reached; nothing was done.
    Unreachable,
    /// Another publication took effect first; this one had and will have no effect.
    Lost,
    /// The order may have taken effect.
    Unknown,
}

impl Code {
    /// The number.
    pub const fn number(self) -> u8 {
        match self {
            Self::Success => 0,
            Self::Problem => 1,
            Self::Usage => 2,
            Self::Unreachable => 3,
            Self::Lost => 4,
            Self::Unknown => 5,
        }
    }
}

impl From<Code> for process::ExitCode {
    fn from(code: Code) -> Self {
        Self::from(code.number())
    }
}
