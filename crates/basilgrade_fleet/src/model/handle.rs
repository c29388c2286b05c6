//! Handle of a stage result at the upstream that holds the result.

use std::fmt;
use std::net;

use compact_str::CompactString;
use serde::Deserialize;
use serde::Serialize;

/// `ADDRESS/ID`, as named by the upstream that produced the result.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(transparent)]
pub struct Handle(pub CompactString);

impl Handle {
    /// Address of the upstream that holds the result, or `None` if the handle is malformed.
    pub fn holder(&self) -> Option<net::SocketAddr> {
        self.0.split('/').next()?.parse().ok()
    }
}

impl fmt::Display for Handle {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}
