//! Slots, the fixed partitions of the key space of request keys.

use std::fmt;
use std::str;

use serde::Deserialize;
use serde::Serialize;

use crate::parse;

/// The number of slots.
///
/// The number must never change: it would move keys to other slots, whose owners do not know the
/// claims on these keys, so that a request could run twice. With 20 failure domains,
/// 64 slots are three per domain.
pub const SLOT_COUNT: u8 = 64;

/// One of the [`SLOT_COUNT`] partitions of the key space, owned by a primary and a backup daemon.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(into = "u8", try_from = "u8")]
pub struct Slot(u8);

impl Slot {
    /// The slot with this number; `None` if `number` is not below [`SLOT_COUNT`].
    pub const fn new(number: u8) -> Option<Self> {
        if number < SLOT_COUNT {
            Some(Self(number))
        } else {
            None
        }
    }

    /// The slot of the key with these bytes, chosen by a hash of them.
    pub fn of_key(bytes: &[u8]) -> Self {
        Self((xxhash_rust::xxh3::xxh3_64(bytes) % u64::from(SLOT_COUNT)) as u8)
    }

    /// All slots in ascending order of their numbers.
    pub fn all() -> impl Iterator<Item = Self> {
        (0..SLOT_COUNT).map(Self)
    }

    /// The number of the slot, below [`SLOT_COUNT`].
    pub const fn number(self) -> u8 {
        self.0
    }
}

impl fmt::Display for Slot {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "s{:02}", self.0)
    }
}

impl str::FromStr for Slot {
    type Err = parse::ParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.strip_prefix('s')
            .filter(|digits| digits.len() == 2)
            .and_then(|digits| digits.parse().ok())
            .and_then(Self::new)
            .ok_or_else(|| parse::ParseError::new(text, "a slot from `s00` to `s63`"))
    }
}

impl From<Slot> for u8 {
    fn from(slot: Slot) -> Self {
        slot.0
    }
}

impl TryFrom<u8> for Slot {
    type Error = parse::ParseError;

    /// Rejects a number that is not below [`SLOT_COUNT`], as a malformed message or record may
    /// contain one.
    fn try_from(number: u8) -> Result<Self, Self::Error> {
        Self::new(number)
            .ok_or_else(|| parse::ParseError::new(&number.to_string(), "a slot from 0 to 63"))
    }
}
