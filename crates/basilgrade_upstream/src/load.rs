//! Load reports and cache events of upstreams.

use compact_str::CompactString;
use serde::Deserialize;
use serde::Serialize;

/// Load report of an upstream; its figures lag behind the current state by at least `age`.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct Load {
    /// Number of calls in progress.
    pub running: u32,
    /// Number of calls in the queue.
    pub queued: u32,
    /// Age of the figures when the report was sent, in milliseconds.
    pub age: u64,
    /// Whether the upstream is about to leave.
    pub leaving: bool,
    /// Names of the loaded models.
    pub models: Vec<CompactString>,
}

/// Change of a prefix in the KV cache of an engine.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum CacheChange {
    Evicted,
    Stored,
}

/// Event of the KV cache of an engine. Events arrive late and with gaps in `seq`.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct CacheEvent {
    /// Position in the sequence of events of the engine.
    pub seq: u64,
    /// Hash of the cached prefix.
    pub prefix: u64,
    pub change: CacheChange,
}
