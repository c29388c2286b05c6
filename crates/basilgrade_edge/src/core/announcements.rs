//! What upstreams announce about the requests that they take: limits, cold starts, leaving and pauses.

use basilgrade_adapter::answer;
use basilgrade_fleet::brittleness;
use basilgrade_fleet::directory::upstream;
use basilgrade_fleet::limit;
use basilgrade_types::clock;
use basilgrade_types::rate;

use crate::core;

/// Time for which an upstream counts as cold if another daemon reports that it is: until the next
/// registration is due.
const REPORTED_COLD_SPAN: clock::Millis = clock::Millis(1200);

impl core::Core {
    /// Limit of `entry` if it is cold now and its pool limits cold upstreams.
    fn cold_limit(&self, entry: &upstream::Upstream) -> Option<limit::ColdLimit> {
        if !entry.stats.is_cold(self.now()) {
            return None;
        }
        let view = self.view.load();
        let pool = view.configuration.as_ref()?.pools.get(&entry.pool)?;
        let cold = pool.cold?;
        Some(self.settings.load().cold.limit(cold.rate))
    }

    /// Brings the limit of `entry` up to date with whether it is cold; `true` if it is.
    pub fn refresh_cold(&self, entry: &upstream::Upstream) -> bool {
        let (now, cold) = (self.now(), self.cold_limit(entry));
        let has_changed = entry.stats.limit().set_cold(now, cold);
        if has_changed {
            log::info!(
                "event=cold-limit-changed upstream={} pool={} domain={} limit={}",
                entry.id,
                entry.pool,
                entry.domain,
                cold.map_or_else(|| "none".to_owned(), |cold| cold.rate.to_string())
            );
        }
        cold.is_some()
    }

    /// Records that `entry` stays cold for `span` from now on.
    pub fn record_cold(&self, entry: &upstream::Upstream, span: clock::Millis, origin: &str) {
        let now = self.now();
        let view = self.view.load();
        let known = view.configuration.as_ref();
        let pool = known.and_then(|known| known.pools.get(&entry.pool));
        // No upstream stays cold for longer than after a start.
        let span = match pool.map(|pool| pool.cold) {
            Some(Some(cold)) => span.min(cold.span),
            Some(None) => return,
            None => span,
        };
        if span > clock::Millis::ZERO && entry.stats.record_cold(now, now.plus(span)) {
            self.metrics.cold_upstreams.inc();
            log::info!(
                "event=upstream-cold upstream={} pool={} domain={} span={span} origin={origin}",
                entry.id,
                entry.pool,
                entry.domain
            );
        }
    }

    /// Takes over what another daemon knows of the limit of `entry`, unless it is older.
    pub fn merge_limit(&self, entry: &upstream::Upstream, report: limit::Report) {
        let now = self.now();
        if report.rate.is_some() && report.age.is_none() {
            self.record_cold(entry, REPORTED_COLD_SPAN, "daemon");
            return;
        }
        if entry.stats.update_limit(|limit| limit.merge(now, report)) {
            self.log_limit(entry, report.rate);
        }
    }

    /// Records the limit on the rate of requests that an answer of `entry` names, or the end of it.
    pub fn record_limit(&self, entry: &upstream::Upstream, answer: &answer::Answer) {
        // A rejection may come from another upstream at the address, or from a proxy before it.
        if answer.request_limit.is_none() && answer.is_unexecuted {
            return;
        }
        let (now, rate) = (self.now(), answer.request_limit);
        let has_changed = entry
            .stats
            .update_limit(|limit| limit.record_answer(now, rate));
        if has_changed {
            self.log_limit(entry, rate);
        }
    }

    /// Records what an answer of `entry` announces about the requests that it takes.
    ///
    /// `daemons` is the number of daemons that send to it.
    pub fn record_notices(
        &self,
        entry: &upstream::Upstream,
        answer: &answer::Answer,
        daemons: usize,
    ) {
        self.record_brittleness(entry, answer, daemons);
        self.record_cold(entry, answer.cold_for, "answer");
        if answer.state == upstream::State::Draining && entry.stats.notices.record_leaving() {
            self.metrics.leaving_notices.inc();
            log::info!(
                "event=upstream-leaving upstream={} pool={} domain={} status={}",
                entry.id,
                entry.pool,
                entry.domain,
                answer.status.as_u16()
            );
        }
        if let Some(pause) = answer.pause {
            self.record_pause(entry, pause);
        }
    }

    fn record_pause(&self, entry: &upstream::Upstream, pause: clock::Millis) {
        let now = self.now();
        if entry.stats.notices.record_pause(now, now.plus(pause)) {
            self.metrics.pauses.inc();
            log::info!(
                "event=upstream-paused upstream={} pool={} domain={} wait={pause}",
                entry.id,
                entry.pool,
                entry.domain
            );
        }
    }

    fn record_brittleness(
        &self,
        entry: &upstream::Upstream,
        answer: &answer::Answer,
        daemons: usize,
    ) {
        let notices = &entry.stats.notices;
        let tolerance = answer.tolerance;
        // A rejection may come from another upstream at the address, or from a proxy before it.
        if tolerance.is_none() && (answer.is_unexecuted || !notices.is_brittle()) {
            return;
        }
        let shares = brittleness::Shares {
            daemons,
            slots: entry.slots,
        };
        let (now, active) = (self.now(), entry.stats.active());
        let (has_changed, hold) = notices.update_brittleness(|known| {
            let has_changed = known.record_answer(now, tolerance);
            let hold = if answer.is_full() {
                Some(known.record_refusal(now, shares, active, rand::random()))
            } else {
                known.record_success(now, shares);
                None
            };
            (has_changed, hold)
        });
        if has_changed {
            log::info!(
                "event=tolerance-changed upstream={} pool={} domain={} tolerance={}",
                entry.id,
                entry.pool,
                entry.domain,
                tolerance.map_or_else(|| "none".to_owned(), |rate| rate.to_string())
            );
        }
        if let Some(hold) = hold {
            self.record_pause(entry, hold);
        }
    }

    fn log_limit(&self, entry: &upstream::Upstream, rate: Option<rate::RequestRate>) {
        self.metrics.limit_changes.inc();
        log::info!(
            "event=limit-changed upstream={} pool={} domain={} limit={}",
            entry.id,
            entry.pool,
            entry.domain,
            rate.map_or_else(|| "none".to_owned(), |rate| rate.to_string())
        );
    }
}
