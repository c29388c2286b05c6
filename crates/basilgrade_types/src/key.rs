//! Request keys: how a caller names a request that must not run twice.

use std::fmt;
use std::str;

use serde::Deserialize;
use serde::Serialize;

use crate::clock;
use crate::parse;
use crate::slot;

/// A caller's key for one request: a UUIDv7, with or without an explicit slot.
///
/// The creation time inside the key, not any process clock, decides which grants it falls under.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct RequestKey {
    slot: slot::Slot,
    uuid: uuid::Uuid,
    explicit: bool,
}

impl RequestKey {
    /// A key in `slot` created at `now`, with `random` as its unique part.
    pub fn mint(slot: slot::Slot, now: clock::Millis, random: u128) -> Self {
        let bytes = random.to_le_bytes();
        let mut tail = [0; 10];
        tail.copy_from_slice(&bytes[..10]);
        Self {
            slot,
            uuid: uuid::Builder::from_unix_timestamp_millis(now.0, &tail).into_uuid(),
            explicit: true,
        }
    }

    /// The slot that the key belongs to.
    pub const fn slot(&self) -> slot::Slot {
        self.slot
    }

    /// When the caller says it created the key.
    pub fn created(&self) -> clock::Millis {
        let bytes = self.uuid.as_bytes();
        let millis = bytes[..6]
            .iter()
            .fold(0, |sum, byte| (sum << 8) | u64::from(*byte));
        clock::Millis(millis)
    }

    /// The UUID inside the key.
    pub const fn uuid(&self) -> uuid::Uuid {
        self.uuid
    }
}

impl fmt::Display for RequestKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.explicit {
            write!(f, "{}-{}", self.slot, self.uuid)
        } else {
            fmt::Display::fmt(&self.uuid, f)
        }
    }
}

impl str::FromStr for RequestKey {
    type Err = parse::ParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let invalid = || parse::ParseError::new(text, "a UUIDv7, or `sNN-` followed by a UUIDv7");
        let (prefix, rest) = match text.split_once('-') {
            Some((head, tail)) if head.len() == 3 => (Some(head), tail),
            _ => (None, text),
        };
        let uuid = uuid::Uuid::try_parse(rest).map_err(|_| invalid())?;
        if uuid.get_version_num() != 7 {
            return Err(invalid());
        }
        let slot = match prefix {
            Some(prefix) => prefix.parse().map_err(|_| invalid())?,
            None => slot::Slot::of(uuid.as_bytes()),
        };
        Ok(Self {
            slot,
            uuid,
            explicit: prefix.is_some(),
        })
    }
}
