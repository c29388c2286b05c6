//! What happens in a run.

/// Start of the measured part of a run; caches and estimates fill before it.
pub(crate) const WARM: f64 = 20_000.0;

/// Start of a fault.
pub(crate) const FAULT: f64 = 30_000.0;

/// End of a fault.
pub(crate) const REPAIR: f64 = 60_000.0;

/// End of the arrivals.
pub(crate) const END: f64 = 80_000.0;

/// Kind of a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Kind {
    Steady,
    /// Three times the load for 20 s.
    Burst,
    /// One engine 10 times slower during the fault.
    SlowEngine,
    /// One engine fails every call at once during the fault.
    FailingEngine,
    /// The whole pool of the first plain stage 5 times slower during the fault.
    SlowPool,
    /// The upstreams of one region refuse connections during the fault.
    DomainLost,
    /// Latency between regions 20 times higher during the fault.
    SlowLink,
    /// Load reports 5 s old.
    OldReports,
    /// A fifth of the cache events lost.
    LostEvents,
    /// Calls that must not be repeated come at 1.5 times the capacity of their pool during the
    /// fault.
    Rush,
    /// One customer sends 10 times its share during the fault.
    Greedy,
    /// A seventh of the engines joins with empty caches at the start of the fault.
    ColdStart,
    /// Daemons restart one after another during the fault.
    Restart,
}

/// A run: its kind and load.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Scenario {
    pub(crate) name: &'static str,
    pub(crate) kind: Kind,
    /// Load as a share of the capacity.
    pub(crate) load: f64,
}

const fn scenario(name: &'static str, kind: Kind, load: f64) -> Scenario {
    Scenario { name, kind, load }
}

/// All scenarios in the order of the report.
pub(crate) const ALL: [Scenario; 16] = [
    scenario("steady-0.5", Kind::Steady, 0.5),
    scenario("steady-0.7", Kind::Steady, 0.7),
    scenario("steady-0.9", Kind::Steady, 0.9),
    scenario("burst", Kind::Burst, 0.5),
    scenario("overload-1.5", Kind::Steady, 1.5),
    scenario("slow-engine", Kind::SlowEngine, 0.9),
    scenario("failing-engine", Kind::FailingEngine, 0.8),
    scenario("slow-pool", Kind::SlowPool, 0.7),
    scenario("domain-lost", Kind::DomainLost, 0.6),
    scenario("slow-link", Kind::SlowLink, 0.7),
    scenario("old-reports", Kind::OldReports, 0.8),
    scenario("lost-events", Kind::LostEvents, 0.8),
    scenario("rush", Kind::Rush, 0.6),
    scenario("greedy", Kind::Greedy, 0.6),
    scenario("cold-start", Kind::ColdStart, 0.9),
    scenario("restart", Kind::Restart, 0.8),
];

impl Scenario {
    /// Whether the scenario is also run at the size of a fleet, which takes much longer.
    pub(crate) fn large(&self) -> bool {
        self.name == "steady-0.9" || matches!(self.kind, Kind::SlowEngine | Kind::OldReports)
    }

    /// Requests of each customer at `now`, as a share of the capacity.
    pub(crate) fn rates(&self, now: f64, customers: &[f64]) -> Vec<f64> {
        let factor = if self.kind == Kind::Burst && (FAULT..FAULT + 20_000.0).contains(&now) {
            3.0
        } else {
            1.0
        };
        let greedy = self.kind == Kind::Greedy && (FAULT..REPAIR).contains(&now);
        customers
            .iter()
            .enumerate()
            .map(|(index, share)| {
                let own = if greedy && index == 1 { 10.0 } else { 1.0 };
                share * self.load * factor * own
            })
            .collect()
    }

    /// Additional calls to the pool of calls that must not be repeated, as a share of its capacity.
    pub(crate) fn rush(&self, now: f64) -> f64 {
        if self.kind == Kind::Rush && (FAULT..REPAIR).contains(&now) {
            1.5
        } else {
            0.0
        }
    }

    /// Milliseconds between a load report and its use.
    pub(crate) fn lag(&self) -> f64 {
        if self.kind == Kind::OldReports {
            5000.0
        } else {
            150.0
        }
    }

    /// Share of the cache events that is lost.
    pub(crate) fn loss(&self) -> f64 {
        if self.kind == Kind::LostEvents {
            0.2
        } else {
            0.01
        }
    }
}
