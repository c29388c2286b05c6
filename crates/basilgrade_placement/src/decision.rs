//! Placement decisions, for the log.

use std::fmt;

use basilgrade_types::id;

/// What was decided.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Action {
    /// An engine is to load weights.
    Load,
    /// An engine has loaded the weights.
    Loaded,
    /// An engine did not load the weights in time.
    LoadFailed,
    /// An engine is to unload weights.
    Unload,
    /// Weights are wanted but cannot be loaded now.
    Wait,
}

/// Why.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reason {
    /// The engine's load report.
    Report,
    /// Fewer replicas than the target.
    Demand,
    /// Another version is to be served.
    Version,
    /// The weight store's rate is in use.
    StoreRate,
    /// The weight store has not answered or does not have the weights.
    StoreUnknown,
    /// Every engine with room would lose the last replica of a model.
    LastReplica,
    /// The engine no longer reports, or is leaving.
    EngineLost,
    /// No load report showed the weights in time.
    TimedOut,
}

/// One decision.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Decision {
    /// What was decided.
    pub action: Action,
    /// The weights concerned.
    pub weights: id::ModelId,
    /// The engine chosen, if any.
    pub engine: Option<id::UpstreamId>,
    /// Weights unloaded to make room.
    pub replaced: Option<id::ModelId>,
    /// Loads that were possible or wanted.
    pub candidates: usize,
    /// Why.
    pub reason: Reason,
}

impl Action {
    /// The text in a log line.
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
    /// The text in a log line.
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
        let text = |name: Option<&str>| name.unwrap_or("none").to_owned();
        write!(
            f,
            "action={} model={} candidates={} choice={} replaced={} reason={}",
            self.action.as_str(),
            self.weights,
            self.candidates,
            text(self.engine.as_ref().map(id::UpstreamId::as_str)),
            text(self.replaced.as_ref().map(id::ModelId::as_str)),
            self.reason.as_str(),
        )
    }
}
