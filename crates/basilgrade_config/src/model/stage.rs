//! Stages of a pipeline.

use std::fmt;
use std::str;

use basilgrade_types::id;
use basilgrade_types::parse;
use basilgrade_types::size;
use serde::Deserialize;
use serde::Serialize;

/// Whether a call may be retried if an earlier attempt may have been executed.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Idempotency {
    /// Executing the call twice has the same effect as executing it once.
    Idempotent,
    /// The call must be executed at most once.
    NonIdempotent,
}

/// How a stage may be degraded if the remaining time budget is too short to run it in full.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Degrade {
    /// The stage always runs in full.
    Never,
    /// The stage generates at most this many tokens.
    Shorten(size::TokenCount),
    /// The stage is skipped, also if its call fails and time is left. A non-idempotent call that
    /// may have run is not skipped.
    Skip,
    /// The stage runs on another pool, for example with a smaller model.
    Substitute {
        /// The substitute pool.
        pool: id::PoolId,
        /// The model requested from the substitute pool; `None` means the model of the stage.
        model: Option<id::ModelId>,
    },
}

/// One stage of a pipeline.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Stage {
    /// The name of the stage, which is unique within the pipeline.
    pub id: id::StageId,
    /// The pool that serves the stage.
    pub pool: id::PoolId,
    /// The model that an engine must have loaded to run the stage; `None` for other pools.
    pub model: Option<id::ModelId>,
    /// The maximum number of generated tokens; 0 for stages that generate none.
    pub tokens: size::TokenCount,
    /// Whether the stage may be retried after an attempt that may have been executed.
    pub idempotency: Idempotency,
    /// How the stage may be degraded under time pressure.
    pub degrade: Degrade,
}

impl Stage {
    /// Whether calls of the stage or of its substitute request `model`.
    pub fn uses_model(&self, model: &id::ModelId) -> bool {
        let substitute = match &self.degrade {
            Degrade::Substitute { model, .. } => model.as_ref(),
            _ => None,
        };
        self.model.as_ref() == Some(model) || substitute == Some(model)
    }
}

impl Idempotency {
    /// The value as written in a configuration.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Idempotent => "idempotent",
            Self::NonIdempotent => "non-idempotent",
        }
    }
}

impl fmt::Display for Idempotency {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl str::FromStr for Idempotency {
    type Err = parse::ParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "idempotent" => Ok(Self::Idempotent),
            "non-idempotent" => Ok(Self::NonIdempotent),
            _ => Err(parse::ParseError::new(
                text,
                "`idempotent` or `non-idempotent`",
            )),
        }
    }
}
