//! Stages of a pipeline.

use std::fmt;
use std::str;

use basilgrade_types::id;
use basilgrade_types::parse;
use basilgrade_types::size;
use serde::Deserialize;
use serde::Serialize;

/// Whether a call may be sent again after it may have run.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Idempotency {
    /// Running twice has the same effect as running once.
    Idempotent,
    /// Must run at most once.
    NonIdempotent,
}

/// What may be dropped when the deadline budget demands it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Degrade {
    /// Nothing.
    Never,
    /// Answer with at most this many tokens.
    Shorten(size::TokenCount),
    /// Leave the stage out.
    Skip,
    /// Use another pool, for example with a smaller model.
    Substitute {
        /// The pool.
        pool: id::PoolId,
        /// The model asked for there; the stage's own if there is none.
        model: Option<id::ModelId>,
    },
}

/// One stage of a pipeline.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Stage {
    /// The name of the stage, unique in its pipeline.
    pub id: id::StageId,
    /// The pool that serves it.
    pub pool: id::PoolId,
    /// The model that engines need to have loaded.
    pub model: Option<id::ModelId>,
    /// Most tokens generated; 0 for stages that generate none.
    pub tokens: size::TokenCount,
    /// Whether the stage may be run again.
    pub idempotency: Idempotency,
    /// What may be dropped.
    pub degrade: Degrade,
}

impl Stage {
    /// Whether calls of the stage or of its substitute ask for `model`.
    pub fn uses_model(&self, model: &id::ModelId) -> bool {
        let substitute = match &self.degrade {
            Degrade::Substitute { model, .. } => model.as_ref(),
            _ => None,
        };
        self.model.as_ref() == Some(model) || substitute == Some(model)
    }
}

impl Idempotency {
    /// The text in a configuration.
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
