//! The load in progress.

use basilgrade_types::clock;
use basilgrade_types::id;

/// The one load that the failure domain has in progress.
#[derive(Clone, Debug)]
pub(crate) struct Load {
    /// The engine that loads.
    pub(crate) engine: id::UpstreamId,
    /// What it loads.
    pub(crate) weights: id::ModelId,
    /// When it was ordered.
    pub(crate) started: clock::Millis,
    /// When it is given up.
    pub(crate) limit: clock::Millis,
}
