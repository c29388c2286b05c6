//! Strategies to compare: baselines, the policy, and the policy without one mechanism.

/// A mechanism of the policy that can be disabled. The variant names appear in the report.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Mechanism {
    /// Deadline plan with degradation, and refusal of requests that cannot meet their deadline.
    Budget,
    /// Upstreams serve calls with little slack first.
    Priority,
    /// Index of cached prefixes.
    Prefix,
    /// Use of cache events in the prefix index, in addition to own calls.
    Events,
    /// Preference of all daemons for the same upstream for a prefix.
    Preferred,
    /// Backoff for upstreams that refuse connections.
    Connection,
    /// Lower weights for upstreams that are slower or fail more often than their peers.
    Outliers,
    /// Retry budget, instead of a fixed number of retries.
    Retry,
    /// Hedges for calls that take long.
    Hedge,
    /// Limits for customers that exceed their shares.
    Share,
    /// Observed speed of each upstream, instead of the declared speed.
    Speed,
    /// Own calls since the load report count as load.
    Correction,
    /// Own calls in flight replace a load report that is old.
    Trust,
}

/// How daemons choose upstreams in a run. The variant names appear in the report.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Strategy {
    RoundRobin,
    Random,
    LeastOutstanding,
    TwoChoices,
    /// The policy with all mechanisms.
    Policy,
    /// The policy without one mechanism.
    Without(Mechanism),
    /// The policy with full knowledge of the state of every upstream.
    Oracle,
    /// The policy with full knowledge and 20 times the weight of cost, as a lower bound on traffic.
    Thrift,
}

/// All strategies, in the order of the report.
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

    /// Whether the strategy also runs on the fleet.
    pub(crate) fn runs_on_fleet(self) -> bool {
        matches!(
            self,
            Self::TwoChoices
                | Self::LeastOutstanding
                | Self::Policy
                | Self::Without(Mechanism::Trust | Mechanism::Correction)
                | Self::Oracle
        )
    }

    /// Whether the strategy knows the true state of the upstreams.
    pub(crate) fn has_full_knowledge(self) -> bool {
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
