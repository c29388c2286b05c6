//! Directory entry of an upstream.

use std::convert;
use std::fmt;
use std::net;
use std::str;
use std::sync;

use basilgrade_types::clock;
use basilgrade_types::id;
use compact_str::CompactString;
use serde::Deserialize;
use serde::Serialize;

use crate::health;

/// Registration of an upstream, with the statistics that this daemon keeps about it.
#[derive(Clone, Debug)]
pub struct Upstream {
    /// Id of the upstream; a restart usually changes it.
    pub id: id::UpstreamId,
    pub pool: id::PoolId,
    pub address: net::SocketAddr,
    pub domain: id::DomainId,
    /// Requests that the upstream processes concurrently.
    pub slots: u32,
    pub state: State,
    /// Version of the upstream's software, which is not that of a model's weights; empty if the
    /// registration names none.
    pub version: Version,
    /// Unix time at which the upstream started, if registered; distinguishes runs with the same id.
    pub started_at: Option<clock::Millis>,
    /// Number of this registration among those of the same run, if given; rises with each.
    pub sequence: Option<u64>,
    /// Time for which the upstream stays cold, as of this registration.
    pub cold_for: clock::Millis,
    /// Statistics of this daemon about this run.
    pub stats: sync::Arc<health::Stats>,
}

impl Upstream {
    /// Whether `other` describes the same run of the upstream at the same address.
    pub fn is_same_run(&self, other: &Self) -> bool {
        self.address == other.address
            && self.started_at == other.started_at
            && self.pool == other.pool
    }

    /// Whether the upstream is in service: it is neither registered nor announced as leaving.
    pub fn is_in_service(&self) -> bool {
        self.state == State::Ready && !self.stats.notices.is_leaving()
    }

    /// Whether the upstream accepts requests of this daemon at `now`.
    pub fn is_accepting(&self, now: clock::Millis) -> bool {
        self.is_in_service() && !self.stats.notices.is_paused(now)
    }
}

/// Version of an upstream's software, for comparison only.
#[derive(Clone, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(transparent)]
pub struct Version(pub CompactString);

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl str::FromStr for Version {
    type Err = convert::Infallible;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        Ok(Self(CompactString::new(text)))
    }
}

/// Whether an upstream accepts new requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum State {
    /// The upstream accepts new requests.
    Ready,
    /// The upstream finishes its current requests and then shuts down.
    Draining,
}
