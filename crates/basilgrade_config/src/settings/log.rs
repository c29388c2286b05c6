//! Section `[log]`: logging.

pub mod level;

use crate::reader;
use crate::value;

/// Logging.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Log {
    /// `level`: the least severe level that is written. Default `info`.
    pub level: level::Level,
}

pub(super) fn read(reader: &mut reader::Reader<'_>) -> Log {
    let level = reader.optional("level", value::parsed);
    Log {
        level: level.unwrap_or_default(),
    }
}
