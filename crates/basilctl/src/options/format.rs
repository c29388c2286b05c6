//! Option for the format of the output.

use bpaf::Parser;

/// The format of the output.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Format {
    /// One JSON object.
    Json,
    /// Human-readable text.
    Plain,
}

pub(super) fn format() -> impl Parser<Format> {
    bpaf::long("json")
        .help("Print one JSON object")
        .flag(Format::Json, Format::Plain)
}
