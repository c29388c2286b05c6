//! Failure domains, whose members can fail together.

use basilgrade_types::id;
use serde::Deserialize;
use serde::Serialize;

/// A failure domain and the region that contains it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Domain {
    pub id: id::DomainId,
    /// The region that contains the failure domain.
    pub region: id::RegionId,
}
