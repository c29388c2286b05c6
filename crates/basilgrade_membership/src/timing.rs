//! Intervals and timeouts of the membership protocol.

use basilgrade_types::clock;

/// Maximum interval between two calls of `Node::tick`.
pub const TICK_INTERVAL: clock::Millis = clock::Millis(100);

/// Interval between two gossip rounds of a daemon.
pub const ROUND_INTERVAL: clock::Millis = clock::Millis(1000);

/// Time without a heartbeat after which a member is probed directly.
///
/// Gossip alone takes up to three rounds to deliver a heartbeat to the last of 19 members, so a
/// missing heartbeat is no evidence of death without a probe.
pub const PROBE_AFTER: clock::Millis = clock::Millis(1600);

/// Time after which an unanswered probe counts as a failed contact attempt and is repeated.
pub const PROBE_TIMEOUT: clock::Millis = clock::Millis(400);

/// Time without a heartbeat after which a member is suspect and receives no new ownership.
pub const SUSPECT_AFTER: clock::Millis = clock::Millis(2000);

/// Time without a heartbeat after which a member is dead.
pub const DEAD_AFTER: clock::Millis = clock::Millis(3000);

/// Gap between two calls of the node above which this process counts as paused.
///
/// The threshold is below [`SUSPECT_AFTER`], so that a process detects its own pause before it
/// suspects peers because of it.
pub const PAUSE_THRESHOLD: clock::Millis = clock::Millis(1000);

/// Time without an update of another domain's summary after which the domain counts as silent.
///
/// A domain refreshes its summary every [`PROGRESS_REFRESH_INTERVAL`], so three lost refreshes are
/// tolerated.
pub const DOMAIN_TIMEOUT: clock::Millis = clock::Millis(15_000);

/// Time after which a domain republishes unchanged progress, as a heartbeat to other domains.
pub const PROGRESS_REFRESH_INTERVAL: clock::Millis = clock::Millis(4000);

/// Minimum interval between two publications of the same load total or demand.
pub const SOFT_STATE_INTERVAL: clock::Millis = clock::Millis(5000);

/// Age above which reports of upstream health are ignored.
pub const HEALTH_TTL: clock::Millis = clock::Millis(10_000);

/// Interval at which a daemon republishes that an upstream is unhealthy. It is below half of
/// [`HEALTH_TTL`], so that one late report does not make the upstream count as healthy.
pub const HEALTH_REFRESH_INTERVAL: clock::Millis = clock::Millis(4000);

/// Time for which a tombstone is kept so that it reaches every replica.
pub const TOMBSTONE_TTL: clock::Millis = clock::Millis(60_000);

/// Time for which digests still list a dead member.
pub const DEAD_GOSSIP_TTL: clock::Millis = clock::Millis(60_000);

/// Time for which a dead member stays in the member table.
pub const DEAD_MEMBER_TTL: clock::Millis = clock::Millis(300_000);

/// Delay before an urgent change is gossiped, so that changes that arrive together share messages.
pub const URGENT_DELAY: clock::Millis = clock::Millis(20);

/// Time after which a joining daemon sends its join request to another peer.
pub const JOIN_RETRY_INTERVAL: clock::Millis = clock::Millis(500);

/// Time after which a joining daemon stops waiting for the state of a peer, so that a daemon
/// without reachable peers starts alone.
pub const JOIN_TIMEOUT: clock::Millis = clock::Millis(3000);

/// Maximum time for which a joining daemon waits for the revisions of its peers.
pub const CONFIRM_TIMEOUT: clock::Millis = clock::Millis(1000);

/// Time for which a daemon must be the preferred log reader before it starts to read the log.
pub const READER_TAKEOVER_DELAY: clock::Millis = clock::Millis(500);

/// Interval between two reads of the log by the log reader of a domain.
pub const LOG_POLL_INTERVAL: clock::Millis = clock::Millis(500);

/// Maximum delay between two reads of an unreachable log.
pub const MAX_LOG_BACKOFF: clock::Millis = clock::Millis(5000);

/// Time for which a daemon that could not reach the log is ranked last as log reader.
pub const LOG_READER_COOLDOWN: clock::Millis = clock::Millis(30_000);

/// Time after which a pull that made no progress is repeated.
pub const PULL_TIMEOUT: clock::Millis = clock::Millis(1000);
