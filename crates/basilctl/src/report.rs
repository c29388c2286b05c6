//! Output and exit code of a command.

use serde_json::Value;
use serde_json::json;

use crate::code;
use crate::options::format;

/// The result of a command, as text and as JSON.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Report {
    pub(crate) code: code::ExitCode,
    /// The output for people, printed by default.
    pub(crate) text: String,
    /// The output for programs, printed with `--json`.
    pub(crate) json: Value,
}

impl Report {
    /// Creates the report of a successful command.
    pub(crate) fn success(text: impl Into<String>, json: Value) -> Self {
        Self {
            code: code::ExitCode::Success,
            text: text.into(),
            json,
        }
    }

    /// Creates the report of a failed command; the JSON contains the exit code and the text.
    pub(crate) fn failure(code: code::ExitCode, text: impl Into<String>) -> Self {
        let text = text.into();
        let json = json!({"code": code.number(), "error": text});
        Self { code, text, json }
    }

    /// Prints JSON and the text of a successful command to standard output, and the text of a
    /// failed command to standard error.
    pub(crate) fn print(&self, format: format::Format) {
        let text = self.text.trim_end();
        match format {
            format::Format::Json => println!("{}", self.json),
            format::Format::Plain if text.is_empty() => {}
            format::Format::Plain if self.code == code::ExitCode::Success => println!("{text}"),
            format::Format::Plain => eprintln!("{text}"),
        }
    }
}
