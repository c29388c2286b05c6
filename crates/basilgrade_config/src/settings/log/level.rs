//! Log levels.

use std::fmt;
use std::str;

use basilgrade_types::parse;
use serde::Deserialize;
use serde::Serialize;

/// The minimum severity of log lines that are written.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Level {
    /// Writes no log lines.
    Off,
    /// Writes errors that an operator must resolve.
    Error,
    /// Also writes errors from which the daemon recovers by itself.
    Warn,
    /// Also writes changes of state, failed requests, and decisions such as the choice of an
    /// upstream.
    #[default]
    Info,
    /// Also writes failures that need no action, such as a failed poll or a closed connection.
    Debug,
    /// Writes all log lines.
    Trace,
}

impl Level {
    /// The name of the level in settings files.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Off => "off",
            Self::Error => "error",
            Self::Warn => "warn",
            Self::Info => "info",
            Self::Debug => "debug",
            Self::Trace => "trace",
        }
    }
}

impl fmt::Display for Level {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl str::FromStr for Level {
    type Err = parse::ParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "off" => Ok(Self::Off),
            "error" => Ok(Self::Error),
            "warn" => Ok(Self::Warn),
            "info" => Ok(Self::Info),
            "debug" => Ok(Self::Debug),
            "trace" => Ok(Self::Trace),
            _ => Err(parse::ParseError::new(
                text,
                "`off`, `error`, `warn`, `info`, `debug` or `trace`",
            )),
        }
    }
}
