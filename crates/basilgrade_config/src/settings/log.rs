//! Section `[log]`: logging.

pub mod level;

use crate::reader;
use crate::value;

/// Logging settings.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Log {
    /// `level`: the minimum severity of log lines that are written. Default `info`.
    pub level: level::Level,
}

pub(super) fn read(reader: &mut reader::SectionReader<'_>) -> Log {
    let level = reader.optional("level", value::parsed);
    Log {
        level: level.unwrap_or_default(),
    }
}
