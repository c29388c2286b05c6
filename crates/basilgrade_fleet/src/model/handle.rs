//! The name of a stage result at the upstream that holds it.

use std::fmt;
use std::net;

use compact_str::CompactString;
use serde::Deserialize;
use serde::Serialize;

/// `ADDRESS/ID`, as the upstream that made the result names it.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(transparent)]
pub struct Handle(pub CompactString);

impl Handle {
    /// The address of the upstream that holds the result.
    pub fn holder(&self) -> Option<net::SocketAddr> {
        self.0.split('/').next()?.parse().ok()
    }
}

impl fmt::Display for Handle {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}
