//! Load reports and cache events of upstreams.

use compact_str::CompactString;
use serde::Deserialize;
use serde::Serialize;

/// A load report; it lags behind the truth.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct Load {
    /// Calls being worked on.
    pub running: u32,
    /// Calls waiting.
    pub queued: u32,
    /// Age of the figures when sent, in milliseconds.
    pub age: u64,
    /// Whether the upstream is about to leave.
    pub leaving: bool,
    /// Models loaded.
    pub models: Vec<CompactString>,
}

/// What happened to a cached prefix.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum CacheChange {
    /// The prefix was evicted.
    Evicted,
    /// The prefix was stored.
    Stored,
}

/// A cache event; events come late and with gaps in `seq`.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct CacheEvent {
    /// Position in the engine's sequence of events.
    pub seq: u64,
    /// Hash of the prefix.
    pub prefix: u64,
    /// What happened.
    pub change: CacheChange,
}
