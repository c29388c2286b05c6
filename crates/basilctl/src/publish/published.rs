//! A publication that was successful.

use basilgrade_types::revision;
use serde_json::json;

use crate::report;

/// What was achieved.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Published {
    /// The configuration became this revision.
    InForce(revision::Revision),
    /// The configuration was in force before; nothing was appended.
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
