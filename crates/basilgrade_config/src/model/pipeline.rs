//! Pipelines, which run the stages of a request in order.

use basilgrade_types::clock;
use basilgrade_types::id;
use serde::Deserialize;
use serde::Serialize;

use crate::model::stage;

/// A sequence of stages that share the deadline of the request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Pipeline {
    pub id: id::PipelineId,
    /// The default deadline of a request, and the longest deadline that a request may ask for.
    pub deadline: clock::Millis,
    /// The stages in the order of execution; at least one.
    pub stages: Vec<stage::Stage>,
}
