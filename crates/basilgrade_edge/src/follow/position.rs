//! Position in a topic of the store.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// Number of bits of the offset in the encoded form.
const OFFSET_BITS: u32 = 48;

/// Offset of a record in a topic, in an era of the store.
///
/// The store may come back from an older copy and give offsets out again; its era rises then, so
/// positions of the new era follow all earlier ones. Encoded as one number in the same order.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(from = "u64", into = "u64")]
pub struct Position {
    pub era: u64,
    pub offset: u64,
}

impl Position {
    /// Position after all others.
    pub const MAX: Self = Self {
        era: (1 << (u64::BITS - OFFSET_BITS)) - 1,
        offset: (1 << OFFSET_BITS) - 1,
    };
}

impl From<u64> for Position {
    fn from(encoded: u64) -> Self {
        Self {
            era: encoded >> OFFSET_BITS,
            offset: encoded & Self::MAX.offset,
        }
    }
}

impl From<Position> for u64 {
    fn from(position: Position) -> Self {
        let Position { era, offset } = position.min(Position::MAX);
        (era << OFFSET_BITS) | offset
    }
}

impl fmt::Display for Position {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.era, self.offset)
    }
}
