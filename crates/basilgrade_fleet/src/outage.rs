//! Detection of store outages during which registrations of live upstreams may have lapsed.

use basilgrade_types::clock;

/// Time after an outage within which live upstreams register again.
const RETURN_GRACE: clock::Millis = clock::Millis(2200);

/// Store outages as seen by one daemon.
///
/// That this daemon was not answered is no proof of an outage: its own link may have failed while
/// upstreams kept registering.
#[derive(Clone, Debug)]
pub struct OutageDetector {
    /// Shortest outage that can make the registration of a live upstream lapse.
    min_length: clock::Millis,
    /// Last answer of the store to this daemon or to the daemon that reads for it.
    answered_at: Option<clock::Millis>,
    /// Last answer of the store to this daemon.
    read_at: Option<clock::Millis>,
    has_failed: bool,
    ended_at: Option<clock::Millis>,
    /// Whether this daemon's own reads refute the doubt of the daemon that reads for it; `None`
    /// while that daemon has none.
    refutes_doubt: Option<bool>,
}

impl OutageDetector {
    /// Creates a detector for upstreams that register every `heartbeat` and whose registrations
    /// lapse after three heartbeats without one.
    pub const fn new(heartbeat: clock::Millis) -> Self {
        Self {
            // The last registration may precede the outage by one heartbeat.
            min_length: clock::Millis(heartbeat.0 * 2),
            answered_at: None,
            read_at: None,
            has_failed: false,
            ended_at: None,
            refutes_doubt: None,
        }
    }

    /// Records that the store answered this daemon.
    pub fn record_read(&mut self, now: clock::Millis) {
        self.read_at = Some(now);
        self.record_answer(now);
    }

    /// Records that the store answers the daemon that reads for this one.
    ///
    /// `is_doubtful` tells whether that daemon holds that registrations of live upstreams may be
    /// missing.
    pub fn record_peer_answer(&mut self, now: clock::Millis, is_doubtful: bool) {
        if is_doubtful {
            let has_read_lately = self
                .read_at
                .is_some_and(|at| now < at.plus(self.min_length));
            self.refutes_doubt.get_or_insert(has_read_lately);
        } else {
            self.refutes_doubt = None;
        }
        self.record_answer(now);
    }

    fn record_answer(&mut self, now: clock::Millis) {
        if self.is_out(now) {
            self.ended_at = Some(now);
        }
        self.has_failed = false;
        self.answered_at = Some(now);
    }

    /// Records that the store did not answer this daemon.
    pub fn record_failure(&mut self) {
        self.has_failed = true;
        self.refutes_doubt = None;
    }

    /// Records that the store does not answer the daemon that reads for this one.
    pub fn record_peer_failure(&mut self) {
        self.refutes_doubt = None;
    }

    /// Whether the store has failed to answer for long enough to make registrations lapse.
    fn is_out(&self, now: clock::Millis) -> bool {
        let is_silent = |at: clock::Millis| now >= at.plus(self.min_length);
        self.has_failed && self.answered_at.is_none_or(is_silent)
    }

    fn doubtful_until(&self) -> Option<clock::Millis> {
        self.ended_at.map(|at| at.plus(RETURN_GRACE))
    }

    /// Pause before the next read of the registrations, which are read every `interval`.
    ///
    /// Ends with the doubt, so that upstreams that are still missing then are removed at once.
    pub fn read_pause(&self, now: clock::Millis, interval: clock::Millis) -> clock::Millis {
        let doubt = self.doubtful_until().filter(|until| *until > now);
        doubt.map_or(interval, |until| interval.min(until - now))
    }

    /// Whether registrations of live upstreams may be missing, because there is or recently was an
    /// outage.
    pub fn is_doubtful(&self, now: clock::Millis) -> bool {
        self.answered_at.is_none()
            || self.is_out(now)
            || self.doubtful_until().is_some_and(|until| now < until)
    }

    /// Whether registrations may be missing in an update from another daemon, which reports its own
    /// doubt in `is_doubtful`.
    pub fn is_update_doubtful(&self, is_doubtful: bool) -> bool {
        is_doubtful && self.refutes_doubt != Some(true)
    }
}
