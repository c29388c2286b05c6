//! Pipelines.

use basilgrade_types::clock;
use basilgrade_types::id;
use serde::Deserialize;
use serde::Serialize;

use crate::model::stage;

/// Stages that are run one after another under one deadline.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Pipeline {
    /// The name of the pipeline.
    pub id: id::PipelineId,
    /// Deadline of requests that name none, and the longest that they may name.
    pub deadline: clock::Millis,
    /// The stages in order; at least one.
    pub stages: Vec<stage::Stage>,
}
