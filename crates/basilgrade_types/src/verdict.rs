//! Whether a request may have run.

use std::fmt;
use std::str;

use serde::Deserialize;
use serde::Serialize;

use crate::parse;

/// What is known of the execution of a request or call.
///
/// The order is by how much may have happened, so the verdict over several calls is the maximum
/// of theirs.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// No byte of the call can have had effect; sending it again is safe.
    NotRun,
    /// A complete answer arrived, so the call ran once.
    Ran,
    /// The call may have had effect; sending it again may run it twice.
    MayHaveRun,
}

impl Verdict {
    /// The text used in the `basilgrade-verdict` header and in error bodies.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::Ran => "ran",
            Self::MayHaveRun => "may-have-run",
        }
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl str::FromStr for Verdict {
    type Err = parse::ParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "not-run" => Ok(Self::NotRun),
            "ran" => Ok(Self::Ran),
            "may-have-run" => Ok(Self::MayHaveRun),
            _ => Err(parse::ParseError::new(
                text,
                "`not-run`, `ran` or `may-have-run`",
            )),
        }
    }
}
