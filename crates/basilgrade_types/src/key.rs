//! Request keys, with which callers identify requests that must not run twice.

use std::fmt;
use std::str;

use serde::Deserialize;
use serde::Serialize;

use crate::clock;
use crate::parse;
use crate::slot;

/// A caller's idempotency key for one request: a UUIDv7, with or without an explicit slot.
///
/// The creation time in the UUID, not the clock of a daemon, decides which grant of the slot covers
/// the key.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct RequestKey {
    slot: slot::Slot,
    uuid: uuid::Uuid,
    explicit: bool,
}

impl RequestKey {
    /// Creates a key with an explicit slot.
    ///
    /// `now` is the creation time. The low 80 bits of `random` fill the rest of the UUID, except
    /// its version and variant bits.
    pub fn mint(slot: slot::Slot, now: clock::Millis, random: u128) -> Self {
        let bytes = random.to_le_bytes();
        let mut random_bytes = [0; 10];
        random_bytes.copy_from_slice(&bytes[..10]);
        Self {
            slot,
            uuid: uuid::Builder::from_unix_timestamp_millis(now.0, &random_bytes).into_uuid(),
            explicit: true,
        }
    }

    /// The explicit slot, or the one that the UUID hashes to.
    pub const fn slot(&self) -> slot::Slot {
        self.slot
    }

    /// The creation time according to the UUID, which the caller sets.
    pub fn created(&self) -> clock::Millis {
        let bytes = self.uuid.as_bytes();
        let millis = bytes[..6]
            .iter()
            .fold(0, |sum, byte| (sum << 8) | u64::from(*byte));
        clock::Millis(millis)
    }

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
        let (prefix, uuid_text) = match text.split_once('-') {
            Some((head, tail)) if head.len() == 3 => (Some(head), tail),
            _ => (None, text),
        };
        let uuid = uuid::Uuid::try_parse(uuid_text).map_err(|_| invalid())?;
        if uuid.get_version_num() != 7 {
            return Err(invalid());
        }
        let slot = match prefix {
            Some(prefix) => prefix.parse().map_err(|_| invalid())?,
            None => slot::Slot::of_key(uuid.as_bytes()),
        };
        Ok(Self {
            slot,
            uuid,
            explicit: prefix.is_some(),
        })
    }
}
