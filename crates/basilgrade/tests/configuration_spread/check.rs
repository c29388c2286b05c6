//! Checks when each daemon acted on each version of the configuration.

use std::time;

use indexmap::IndexMap;

use crate::fleet;

/// Longest time from the acknowledgement of a version until each undisturbed daemon acts on it.
pub(crate) const BOUND: time::Duration = time::Duration::from_secs(4);

/// Time without a disruption after which the bound applies to a daemon.
const STABLE_WINDOW: time::Duration = time::Duration::from_secs(5);

/// Time after which no request may be handled by an older version than one before.
const REGRESSION_SLACK: time::Duration = time::Duration::from_millis(250);

/// How late a daemon acted on a version.
#[derive(Clone, Debug)]
pub(crate) struct Lag {
    pub(crate) daemon: usize,
    pub(crate) version: u64,
    /// Version that it had instead.
    pub(crate) held: u64,
    pub(crate) span: time::Duration,
    pub(crate) is_in_touch: bool,
    pub(crate) sent_at: time::Instant,
}

/// What the probes of a run show.
#[derive(Debug, Default)]
pub(crate) struct Report {
    pub(crate) probes: usize,
    /// Longest lag of each daemon and version.
    pub(crate) lags: Vec<Lag>,
    pub(crate) regressions: Vec<String>,
}

impl Report {
    pub(crate) fn longest(&self, is_in_touch: bool) -> Option<&Lag> {
        let lags = self.lags.iter();
        lags.filter(|lag| lag.is_in_touch == is_in_touch)
            .max_by_key(|lag| lag.span)
    }

    /// Lags of undisturbed daemons beyond the bound.
    pub(crate) fn violations(&self) -> impl Iterator<Item = &Lag> {
        self.lags
            .iter()
            .filter(|lag| lag.is_in_touch && lag.span > BOUND)
    }
}

/// Compares what the upstreams ran with the versions that had been published.
pub(crate) fn check(fleet: &fleet::Fleet) -> Report {
    let versions: IndexMap<String, u64> = fleet
        .upstreams
        .iter()
        .flat_map(|upstream| upstream.runs())
        .filter_map(|run| {
            let customer = run.headers.get("x-tenant")?.to_str().ok()?;
            let version = customer.strip_prefix("version-")?.parse().ok()?;
            Some((run.request, version))
        })
        .collect();
    let published = fleet
        .published
        .lock()
        .expect("no holder of the lock panics");
    let disruptions = fleet
        .disruptions
        .lock()
        .expect("no holder of the lock panics");
    let probes = fleet.probes.lock().expect("no holder of the lock panics");
    let mut report = Report::default();
    let mut lags: IndexMap<(usize, u64, bool), Lag> = IndexMap::new();
    let mut newest: IndexMap<usize, (u64, time::Instant)> = IndexMap::new();
    for probe in probes.iter() {
        let Some(&held) = versions.get(&format!("{}-{}", probe.daemon, probe.number)) else {
            continue;
        };
        report.probes += 1;
        let is_disturbed = |disruption: &&fleet::Disruption| {
            disruption
                .daemon
                .is_none_or(|daemon| daemon == probe.daemon)
                && disruption.began <= probe.sent_at
                && probe.sent_at < disruption.ended + STABLE_WINDOW
        };
        let is_in_touch = !disruptions.iter().any(|known| is_disturbed(&known));
        let missed = published
            .iter()
            .find(|known| known.version > held && known.at < probe.sent_at);
        if let Some(missed) = missed {
            let lag = Lag {
                daemon: probe.daemon,
                version: missed.version,
                held,
                span: probe.sent_at - missed.at,
                is_in_touch,
                sent_at: probe.sent_at,
            };
            lags.insert((probe.daemon, missed.version, is_in_touch), lag);
        }
        let known = newest.get(&probe.daemon).copied();
        if let Some((version, at)) = known
            && held < version
            && is_in_touch
            && probe.sent_at > at + REGRESSION_SLACK
        {
            let name = fleet.name(probe.daemon);
            let text = format!("{name} went back from version {version} to {held}");
            report.regressions.push(text);
        }
        if known.is_none_or(|(version, _)| version < held) {
            newest.insert(probe.daemon, (held, probe.sent_at));
        }
    }
    report.lags = lags.into_values().collect();
    report
}
