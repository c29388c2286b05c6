//! Times and bounds of claims.

use basilgrade_types::clock;

/// Times and bounds of claims.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// How long a pair continues without the log (`claims.autonomy`).
    pub autonomy: clock::Millis,
    /// How long claims are kept, in key time.
    pub horizon: clock::Millis,
    /// The most claims that this daemon keeps over all slots and both roles.
    pub claim_limit: usize,
    /// The most bytes of stored answers.
    pub answer_bytes: usize,
    /// The most attempts of this daemon's callers at a time.
    pub attempt_limit: usize,
    /// The most claims of one slot that wait for an acknowledgement.
    pub pending_limit: usize,
    /// How long a message goes unanswered before it is sent again.
    pub resend_interval: clock::Millis,
    /// How long the end of a call is reported before the report is given up.
    pub settle_timeout: clock::Millis,
    /// How often this daemon looks for grants to propose.
    pub plan_interval: clock::Millis,
    /// How long after an append without visible effect another is tried.
    pub append_timeout: clock::Millis,
    /// How long a daemon collects its view before it proposes owners for slots without one.
    pub start_delay: clock::Millis,
    /// How long the preferred failure domain has to take a slot without owner before others do.
    pub fallback_delay: clock::Millis,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            autonomy: clock::Millis::from_secs(15 * 60),
            horizon: clock::Millis::from_secs(30 * 60),
            claim_limit: 200_000,
            // An eighth of the 64 MB that a daemon may spend on control state.
            answer_bytes: 8 << 20,
            attempt_limit: 1 << 16,
            pending_limit: 4096,
            // Ten round trips between regions, so that a slow link is not taken for a loss.
            resend_interval: clock::Millis(200),
            settle_timeout: clock::Millis::from_secs(30),
            // A small part of the 3 s in which a dead member is to be replaced.
            plan_interval: clock::Millis(250),
            append_timeout: clock::Millis::from_secs(5),
            start_delay: clock::Millis::from_secs(3),
            fallback_delay: clock::Millis::from_secs(10),
        }
    }
}
