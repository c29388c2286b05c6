//! Placement decisions as they are written to the log.

use std::fmt;

use basilgrade_types::id;

/// The action that a placement decision takes or records.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Action {
    /// An engine is ordered to load weights.
    Load,
    /// An engine finished loading the weights.
    Loaded,
    /// An engine was lost during the load or did not finish it in time.
    LoadFailed,
    /// An engine is ordered to unload weights.
    Unload,
    /// Weights are to be loaded but no load can start now.
    Wait,
}

/// The reason for a placement decision.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reason {
    /// The load report of the engine lists the weights.
    Report,
    /// The model has fewer replicas than its target.
    Demand,
    /// The configuration names another version of the model.
    Version,
    /// An earlier load still uses the failure domain's share of the weight store's rate.
    StoreRate,
    /// The weight store has not responded yet or does not list the weights.
    StoreUnknown,
    /// Every engine with a slot for the weights would unload the last replica of a model.
    LastReplica,
    /// The engine sends no load reports any more or is leaving.
    EngineLost,
    /// No load report listed the weights before the deadline of the load.
    TimedOut,
}

/// A placement decision for one set of weights.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Decision {
    pub action: Action,
    /// The weights to load or unload: a model, optionally with a version.
    pub weights: id::ModelId,
    /// The engine chosen; `None` for [`Action::Wait`].
    pub engine: Option<id::UpstreamId>,
    /// Weights that the engine unloads to free a slot for the load.
    pub replaced: Option<id::ModelId>,
    /// Number of wanted loads for [`Action::Load`] and [`Action::Wait`], of reporting engines for
    /// [`Action::Loaded`] and [`Action::LoadFailed`], and of replicas of the version to serve for
    /// [`Action::Unload`].
    pub candidates: usize,
    pub reason: Reason,
}

impl Action {
    /// The value of `action` in a log line.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Load => "load",
            Self::Loaded => "loaded",
            Self::LoadFailed => "load-failed",
            Self::Unload => "unload",
            Self::Wait => "wait",
        }
    }
}

impl Reason {
    /// The value of `reason` in a log line.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Report => "report",
            Self::Demand => "demand",
            Self::Version => "version",
            Self::StoreRate => "store-rate",
            Self::StoreUnknown => "store-unknown",
            Self::LastReplica => "last-replica",
            Self::EngineLost => "engine-lost",
            Self::TimedOut => "timed-out",
        }
    }
}

impl fmt::Display for Decision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let or_none = |name: Option<&str>| name.unwrap_or("none").to_owned();
        write!(
            f,
            "action={} model={} candidates={} choice={} replaced={} reason={}",
            self.action.as_str(),
            self.weights,
            self.candidates,
            or_none(self.engine.as_ref().map(id::UpstreamId::as_str)),
            or_none(self.replaced.as_ref().map(id::ModelId::as_str)),
            self.reason.as_str(),
        )
    }
}
