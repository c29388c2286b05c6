//! Ids of requests.

use std::fmt;
use std::str;

use serde::Deserialize;
use serde::Serialize;

use crate::parse;

/// The id of a request: a UUIDv7 assigned by the entry daemon, which receives the request from the
/// caller.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct RequestId(pub uuid::Uuid);

impl RequestId {
    /// Creates an id that contains the current time, so that ids sort by creation time.
    pub fn mint() -> Self {
        Self(uuid::Uuid::now_v7())
    }
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, f)
    }
}

impl str::FromStr for RequestId {
    type Err = parse::ParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        uuid::Uuid::try_parse(text)
            .map(Self)
            .map_err(|_| parse::ParseError::new(text, "a UUID"))
    }
}
