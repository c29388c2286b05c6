//! Failure domains.

use basilgrade_types::id;
use serde::Deserialize;
use serde::Serialize;

/// A failure domain and the region it lies in.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Domain {
    /// The name of the failure domain.
    pub id: id::DomainId,
    /// The region the failure domain lies in.
    pub region: id::RegionId,
}
