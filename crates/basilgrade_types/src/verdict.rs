//! Verdicts on whether a request or call has run.

use std::fmt;
use std::str;

use serde::Deserialize;
use serde::Serialize;

use crate::parse;

/// What is known about the execution of a request or call.
///
/// Variants are ordered by how much may have been executed, so that the verdict on several calls is
/// the maximum of their verdicts.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// No part of the call can have had an effect, so a retry is safe.
    NotRun,
    /// A complete response arrived, so the call ran once.
    Ran,
    /// The call may have had an effect, so a retry may run it twice.
    MayHaveRun,
}

impl Verdict {
    /// The text of the verdict in the `basilgrade-verdict` header and in error response bodies.
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
