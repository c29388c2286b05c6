//! Time spans of the protocol.

use basilgrade_types::clock;

/// How often `Node::tick` should be called.
pub const TICK_INTERVAL: clock::Millis = clock::Millis(100);

/// Time between two gossip rounds of a daemon.
pub const ROUND_INTERVAL: clock::Millis = clock::Millis(1000);

/// Silence after which a member is probed directly.
///
/// Gossip alone delivers a heartbeat to the last of 19 members after up to three rounds, so
/// silence in gossip is no evidence of death without a probe.
pub const PROBE_AFTER: clock::Millis = clock::Millis(1600);

/// Time after which an unanswered probe counts as a failed contact and is repeated.
pub const PROBE_TIMEOUT: clock::Millis = clock::Millis(400);

/// Silence after which a member is suspect; it receives no new ownership from then on.
pub const SUSPECT_AFTER: clock::Millis = clock::Millis(2000);

/// Silence after which a member is dead.
pub const DEAD_AFTER: clock::Millis = clock::Millis(3000);

/// A gap between two ticks that counts as a pause of this process.
///
/// It is below [`SUSPECT_AFTER`], so a process notices its pause before it judges others by it.
pub const PAUSE_THRESHOLD: clock::Millis = clock::Millis(1000);

/// Silence of another domain's summary after which its members may count as lost.
///
/// A domain restates its summary every [`RESTATE_AFTER`]; three lost restatements are tolerated.
pub const DOMAIN_TIMEOUT: clock::Millis = clock::Millis(15_000);

/// Time after which a domain restates its progress, as a sign of life to other domains.
pub const PROGRESS_REFRESH_INTERVAL: clock::Millis = clock::Millis(4000);

/// Least time between two publications of the same load total or demand.
pub const SOFT_STATE_INTERVAL: clock::Millis = clock::Millis(5000);

/// Age after which upstream health reported by others is ignored.
pub const HEALTH_TTL: clock::Millis = clock::Millis(10_000);

/// Time after which an observer repeats that an upstream is unhealthy; below half of
/// [`HEALTH_TTL`], so one late repetition does not bring the upstream back.
pub const HEALTH_REFRESH_INTERVAL: clock::Millis = clock::Millis(4000);

/// Time that a withdrawn item is kept so that its withdrawal reaches everyone.
pub const TOMBSTONE_TTL: clock::Millis = clock::Millis(60_000);

/// Time that a dead member is still mentioned in digests.
pub const DEAD_GOSSIP_TTL: clock::Millis = clock::Millis(60_000);

/// Time that a dead member is kept.
pub const DEAD_MEMBER_TTL: clock::Millis = clock::Millis(300_000);

/// Delay before an urgent change is passed on, so that changes that arrive together share a round.
pub const URGENT_DELAY: clock::Millis = clock::Millis(20);

/// Time after which a joining daemon asks another peer.
pub const JOIN_RETRY_INTERVAL: clock::Millis = clock::Millis(500);

/// Time after which a daemon that no peer answers starts alone.
pub const JOIN_TIMEOUT: clock::Millis = clock::Millis(3000);

/// Time that a daemon waits for the revisions of its peers before it reports ready.
pub const CONFIRM_TIMEOUT: clock::Millis = clock::Millis(1000);

/// Time for which a daemon must be the choice before it takes over as log reader.
pub const READER_TAKEOVER_DELAY: clock::Millis = clock::Millis(500);

/// Time between two reads of the log by a domain's reader.
pub const LOG_POLL_INTERVAL: clock::Millis = clock::Millis(500);

/// Longest time between two reads of an unreachable log.
pub const MAX_LOG_BACKOFF: clock::Millis = clock::Millis(5000);

/// Time for which a daemon that cannot reach the log stands back as reader.
pub const LOG_READER_COOLDOWN: clock::Millis = clock::Millis(30_000);

/// Time after which an unanswered pull is repeated from another peer.
pub const PULL_TIMEOUT: clock::Millis = clock::Millis(1000);
