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
    /// Last answer of the store to this daemon or its reader.
    answered_at: Option<clock::Millis>,
    /// Last answer of the store to this daemon.
    read_at: Option<clock::Millis>,
    has_failed: bool,
    ended_at: Option<clock::Millis>,
    /// Time at which this daemon learned that the store came back from an older copy.
    restored_at: Option<clock::Millis>,
    /// Whether this daemon's own reads prove that there was no outage although its reader, the
    /// daemon that reads the store for it, is uncertain; `None` while the reader is certain.
    overrules_reader: Option<bool>,
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
            restored_at: None,
            overrules_reader: None,
        }
    }

    /// Records that the store answered this daemon.
    pub fn record_read(&mut self, now: clock::Millis) {
        self.read_at = Some(now);
        self.record_answer(now);
    }

    /// Records that the store answers the reader of this daemon, which is uncertain or not.
    pub fn record_reader_answer(&mut self, now: clock::Millis, is_uncertain: bool) {
        if is_uncertain {
            let has_read_lately = self
                .read_at
                .is_some_and(|at| now < at.plus(self.min_length));
            self.overrules_reader.get_or_insert(has_read_lately);
        } else {
            self.overrules_reader = None;
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

    /// Records that the store came back from an older copy, in which registrations may be missing.
    pub fn record_restore(&mut self, now: clock::Millis) {
        self.ended_at = Some(now);
        self.restored_at = Some(now);
    }

    /// Whether the store came back from an older copy so lately that live upstreams may not have
    /// registered again.
    pub fn is_restored_lately(&self, now: clock::Millis) -> bool {
        self.restored_at
            .is_some_and(|at| now < at.plus(RETURN_GRACE))
    }

    /// Records that the store did not answer this daemon.
    pub fn record_failure(&mut self) {
        self.has_failed = true;
        self.overrules_reader = None;
    }

    /// Records that the store does not answer the reader of this daemon.
    pub fn record_reader_failure(&mut self) {
        self.overrules_reader = None;
    }

    /// Whether the store has failed to answer for long enough to make registrations lapse.
    fn is_out(&self, now: clock::Millis) -> bool {
        let is_silent = |at: clock::Millis| now >= at.plus(self.min_length);
        self.has_failed && self.answered_at.is_none_or(is_silent)
    }

    fn uncertain_until(&self) -> Option<clock::Millis> {
        self.ended_at.map(|at| at.plus(RETURN_GRACE))
    }

    /// Pause before the next read of the registrations, which are read every `interval`.
    ///
    /// Ends with the uncertainty, so that upstreams that are still missing then are removed at once.
    pub fn read_pause(&self, now: clock::Millis, interval: clock::Millis) -> clock::Millis {
        let end = self.uncertain_until().filter(|until| *until > now);
        end.map_or(interval, |until| interval.min(until - now))
    }

    /// Whether registrations of live upstreams may be missing, because there is or recently was an
    /// outage.
    pub fn is_uncertain(&self, now: clock::Millis) -> bool {
        self.answered_at.is_none()
            || self.is_out(now)
            || self.uncertain_until().is_some_and(|until| now < until)
    }

    /// Whether registrations may be missing in an update from another daemon, which is uncertain or
    /// not.
    pub fn is_update_uncertain(&self, now: clock::Millis, is_uncertain: bool) -> bool {
        // Own reads of the copy do not show that no registration is missing from it.
        self.is_restored_lately(now) || (is_uncertain && self.overrules_reader != Some(true))
    }
}
