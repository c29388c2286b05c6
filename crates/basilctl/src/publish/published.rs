//! Results of successful publications.

use basilgrade_types::revision;
use serde_json::json;

use crate::report;

/// The result of a successful publication.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Published {
    /// The configuration was published and is in force as this revision.
    InForce(revision::Revision),
    /// The configuration was already in force as this revision, so nothing was appended.
    Unchanged(revision::Revision),
}

impl Published {
    pub(crate) fn report(self) -> report::Report {
        match self {
            Self::InForce(revision) => report::Report::success(
                format!("published as revision {revision}"),
                json!({"revision": revision, "changed": true}),
            ),
            Self::Unchanged(revision) => report::Report::success(
                format!("already in force as revision {revision}"),
                json!({"revision": revision, "changed": false}),
            ),
        }
    }
}
