//! The weight load in progress.

use basilgrade_types::clock;
use basilgrade_types::id;

/// A load of weights into an engine; a failure domain has at most one in progress.
#[derive(Clone, Debug)]
pub(crate) struct Load {
    pub(crate) engine: id::UpstreamId,
    pub(crate) weights: id::ModelId,
    /// The instant at which the load was ordered.
    pub(crate) ordered_at: clock::Millis,
    /// The instant from which an unfinished load counts as failed.
    pub(crate) deadline: clock::Millis,
}
