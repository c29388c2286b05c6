//! Settings of the claims state machine.

use basilgrade_types::clock;

/// Durations and limits of the claims state machine.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// How long a primary and its backup continue to grant claims while the log is unavailable
    /// (setting `claims.autonomy`).
    pub autonomy: clock::Millis,
    /// How long claims are kept, measured back from the newest creation time of a key in the slot.
    pub horizon: clock::Millis,
    /// The most claims that this daemon keeps, over all slots, as primary and as backup.
    pub claim_limit: usize,
    /// The most bytes of stored answers that this daemon keeps.
    pub answer_bytes: usize,
    /// The most concurrent attempts to claim keys for callers of this daemon.
    pub attempt_limit: usize,
    /// The most claims of one slot that wait for an acknowledgement of the backup.
    pub pending_limit: usize,
    /// How long a message may stay unanswered before it is sent again.
    pub resend_after: clock::Millis,
    /// How long an entry daemon tries to report the outcome of a call to the primary.
    pub settle_timeout: clock::Millis,
    /// The minimum time between two proposals of slot grants or releases by this daemon.
    pub plan_interval: clock::Millis,
    /// How long the effect of an appended record is awaited before another record is appended.
    pub append_timeout: clock::Millis,
    /// How long after its start a daemon proposes no owners for unowned slots, because its view of
    /// the cluster is incomplete.
    pub start_delay: clock::Millis,
    /// How long an unowned slot is reserved for its preferred failure domain before other domains
    /// may take it.
    pub fallback_delay: clock::Millis,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            autonomy: clock::Millis::from_secs(15 * 60),
            horizon: clock::Millis::from_secs(30 * 60),
            claim_limit: 200_000,
            // One eighth of the 64 MB of memory that a daemon may use for control state.
            answer_bytes: 8 << 20,
            attempt_limit: 1 << 16,
            pending_limit: 4096,
            // Ten round trips between regions, so that messages over a slow link are not resent.
            resend_after: clock::Millis(200),
            settle_timeout: clock::Millis::from_secs(30),
            // Short in comparison with the 3 s within which a dead member should be replaced.
            plan_interval: clock::Millis(250),
            append_timeout: clock::Millis::from_secs(5),
            start_delay: clock::Millis::from_secs(3),
            fallback_delay: clock::Millis::from_secs(10),
        }
    }
}
