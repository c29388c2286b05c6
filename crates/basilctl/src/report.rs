//! What a command prints.

use serde_json::Value;
use serde_json::json;

use crate::code;
use crate::options::format;

/// The result of a command in both forms.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Report {
    /// What the exit code says.
    pub(crate) code: code::Code,
    /// For people.
    pub(crate) text: String,
    /// For programs.
    pub(crate) json: Value,
}

impl Report {
    /// The report of a command that has done its work.
    pub(crate) fn success(text: impl Into<String>, json: Value) -> Self {
        Self {
            code: code::Code::Success,
            text: text.into(),
            json,
        }
    }

    /// The report of a command that has failed.
    pub(crate) fn failure(code: code::Code, text: impl Into<String>) -> Self {
        let text = text.into();
        let json = json!({"code": code.number(), "error": text});
        Self { code, text, json }
    }

    /// Prints the report: JSON always to standard output, text of failures to standard error.
    pub(crate) fn print(&self, format: format::Format) {
        let text = self.text.trim_end();
        match format {
            format::Format::Json => println!("{}", self.json),
            format::Format::Plain if text.is_empty() => {}
            format::Format::Plain if self.code == code::Code::Success => println!("{text}"),
            format::Format::Plain => eprintln!("{text}"),
        }
    }
}
