//! Ways to run the daemons: baselines, the policy, and the policy without one mechanism.

/// A mechanism that can be disabled.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Mechanism {
    /// Deadline plan, degradation and refusal before any cost.
    Budget,
    /// Adaptive limit per upstream; calls above it wait in the daemon.
    Limit,
    /// Waiting calls are served by deadline and shed, instead of in order of arrival.
    Queue,
    /// Calls with little slack are served first by the upstream.
    Priority,
    /// Index of cached prefixes.
    Prefix,
    /// Cache events of upstreams as evidence for the index, besides own calls.
    Events,
    /// A prefix is expected on the upstream that all daemons prefer for it.
    Preferred,
    /// Observed speed of each upstream instead of the declared one.
    Speed,
    /// Own calls since the report count as load.
    Correction,
    /// Best of a random subset when reports are old.
    Subset,
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
    /// The scored router with the true state of every upstream.
    Oracle,
}

/// All strategies in the order of the report.
pub(crate) const ALL: [Strategy; 16] = [
    Strategy::RoundRobin,
    Strategy::Random,
    Strategy::LeastOutstanding,
    Strategy::TwoChoices,
    Strategy::Policy,
    Strategy::Without(Mechanism::Budget),
    Strategy::Without(Mechanism::Limit),
    Strategy::Without(Mechanism::Queue),
    Strategy::Without(Mechanism::Priority),
    Strategy::Without(Mechanism::Prefix),
    Strategy::Without(Mechanism::Events),
    Strategy::Without(Mechanism::Preferred),
    Strategy::Without(Mechanism::Speed),
    Strategy::Without(Mechanism::Correction),
    Strategy::Without(Mechanism::Subset),
    Strategy::Oracle,
];

impl Strategy {
    pub(crate) fn name(self) -> String {
        match self {
            Self::Without(mechanism) => format!("-{mechanism:?}").to_lowercase(),
            other => format!("{other:?}").to_lowercase(),
        }
    }

    /// Whether a run uses `mechanism`.
    pub(crate) fn has(self, mechanism: Mechanism) -> bool {
        match self {
            Self::Policy | Self::Oracle => true,
            Self::Without(disabled) => disabled != mechanism,
            _ => false,
        }
    }
}
