//! Ways to run the daemons: baselines, the policy, and the policy without one mechanism.

/// A mechanism that can be disabled.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Mechanism {
    /// Deadline plan, degradation and refusal before any cost.
    Budget,
    /// Calls with little slack are served first by the upstream.
    Priority,
    /// Index of cached prefixes.
    Prefix,
    /// Cache events of upstreams as evidence for the index, besides own calls.
    Events,
    /// A prefix is expected on the upstream that all daemons prefer for it.
    Preferred,
    /// Upstreams that refuse connections are tried again after growing times.
    Connection,
    /// Upstreams that are slower or fail more than their peers lose weight.
    Outliers,
    /// Retries, with a budget instead of a fixed number.
    Retry,
    /// A second call when the first one takes long.
    Hedge,
    /// Shares of customers.
    Share,
    /// Observed speed of each upstream instead of the declared one.
    Speed,
    /// Own calls since the report count as load.
    Correction,
    /// Own calls in flight stand in for the load when its report is old.
    Trust,
}

/// How a run chooses upstreams.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Strategy {
    RoundRobin,
    Random,
    LeastOutstanding,
    TwoChoices,
    /// The policy with every mechanism.
    Policy,
    /// The policy without one mechanism.
    Without(Mechanism),
    /// The policy with the true state of every upstream.
    Oracle,
    /// The same with 20 times the weight of cost, as a bound on traffic.
    Thrift,
}

/// All strategies in the order of the report.
pub(crate) const ALL: [Strategy; 20] = [
    Strategy::RoundRobin,
    Strategy::Random,
    Strategy::LeastOutstanding,
    Strategy::TwoChoices,
    Strategy::Policy,
    Strategy::Without(Mechanism::Budget),
    Strategy::Without(Mechanism::Priority),
    Strategy::Without(Mechanism::Prefix),
    Strategy::Without(Mechanism::Events),
    Strategy::Without(Mechanism::Preferred),
    Strategy::Without(Mechanism::Connection),
    Strategy::Without(Mechanism::Outliers),
    Strategy::Without(Mechanism::Retry),
    Strategy::Without(Mechanism::Hedge),
    Strategy::Without(Mechanism::Share),
    Strategy::Without(Mechanism::Speed),
    Strategy::Without(Mechanism::Correction),
    Strategy::Without(Mechanism::Trust),
    Strategy::Oracle,
    Strategy::Thrift,
];

impl Strategy {
    pub(crate) fn name(self) -> String {
        match self {
            Self::Without(mechanism) => format!("-{mechanism:?}").to_lowercase(),
            other => format!("{other:?}").to_lowercase(),
        }
    }

    /// Whether it is also run at the size of a fleet.
    pub(crate) fn large(self) -> bool {
        matches!(
            self,
            Self::TwoChoices
                | Self::LeastOutstanding
                | Self::Policy
                | Self::Without(Mechanism::Trust | Mechanism::Correction)
                | Self::Oracle
        )
    }

    /// Whether the true state of the upstreams is known.
    pub(crate) fn knows(self) -> bool {
        matches!(self, Self::Oracle | Self::Thrift)
    }

    /// Whether a run uses `mechanism`.
    pub(crate) fn has(self, mechanism: Mechanism) -> bool {
        match self {
            Self::Policy | Self::Oracle | Self::Thrift => true,
            Self::Without(disabled) => disabled != mechanism,
            _ => false,
        }
    }
}
