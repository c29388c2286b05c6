//! Load and faults of the simulation runs.

/// End of the warm-up, during which caches and estimates fill. The measured part follows.
pub(crate) const WARM_UP_MS: f64 = 20_000.0;

/// Start of the fault.
pub(crate) const FAULT_START_MS: f64 = 30_000.0;

/// End of the fault.
pub(crate) const FAULT_END_MS: f64 = 60_000.0;

/// End of the arrivals of requests.
pub(crate) const ARRIVALS_END_MS: f64 = 80_000.0;

/// Load pattern or fault of a scenario.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Kind {
    /// The load is constant and there is no fault.
    Steady,
    /// The load is three times higher for 20 s.
    Burst,
    /// One engine is 10 times slower during the fault.
    SlowEngine,
    /// One engine fails every call immediately during the fault.
    FailingEngine,
    /// All upstreams of the fourth pool are 5 times slower during the fault.
    SlowPool,
    /// The upstreams of one region refuse connections during the fault.
    DomainLost,
    /// The latency between regions is 20 times higher during the fault.
    SlowLink,
    /// Load reports are 5 s old.
    OldReports,
    /// A fifth of the cache events is lost.
    LostEvents,
    /// Calls that must not be repeated arrive at 1.5 times the capacity of their pool during the
    /// fault.
    Rush,
    /// One customer sends 10 times its share during the fault.
    Greedy,
    /// Two engines are down until the start of the fault and then join with empty caches.
    ColdStart,
    /// Daemons restart one after another during the fault.
    Restart,
}

/// A kind of run at a given load.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Scenario {
    pub(crate) name: &'static str,
    pub(crate) kind: Kind,
    /// Load as a fraction of the capacity.
    pub(crate) load: f64,
}

const fn scenario(name: &'static str, kind: Kind, load: f64) -> Scenario {
    Scenario { name, kind, load }
}

/// All scenarios, in the order of the report.
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
    /// Whether the scenario also runs on the fleet, which takes much longer than the other
    /// deployments.
    pub(crate) fn runs_on_fleet(&self) -> bool {
        self.name == "steady-0.9" || matches!(self.kind, Kind::SlowEngine | Kind::OldReports)
    }

    /// Request rate of each customer at `now`, as a fraction of the capacity.
    pub(crate) fn rates(&self, now: f64, customers: &[f64]) -> Vec<f64> {
        let factor = if self.kind == Kind::Burst
            && (FAULT_START_MS..FAULT_START_MS + 20_000.0).contains(&now)
        {
            3.0
        } else {
            1.0
        };
        let greedy = self.kind == Kind::Greedy && (FAULT_START_MS..FAULT_END_MS).contains(&now);
        customers
            .iter()
            .enumerate()
            .map(|(index, share)| {
                let own = if greedy && index == 1 { 10.0 } else { 1.0 };
                share * self.load * factor * own
            })
            .collect()
    }

    /// Rate of additional calls that must not be repeated, as a fraction of the capacity of their
    /// pool.
    pub(crate) fn rush(&self, now: f64) -> f64 {
        if self.kind == Kind::Rush && (FAULT_START_MS..FAULT_END_MS).contains(&now) {
            1.5
        } else {
            0.0
        }
    }

    /// Delay in milliseconds until a daemon sees a load sample or a cache event.
    pub(crate) fn lag(&self) -> f64 {
        if self.kind == Kind::OldReports {
            5000.0
        } else {
            150.0
        }
    }

    /// Fraction of the cache events that is lost.
    pub(crate) fn loss(&self) -> f64 {
        if self.kind == Kind::LostEvents {
            0.2
        } else {
            0.01
        }
    }
}
