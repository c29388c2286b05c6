//! The configuration of a daemon, as reported to operators.

use basilgrade_types::revision;
use serde::Serialize;

/// The configuration in force on a daemon.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Configuration {
    /// The configuration revision in force.
    pub revision: revision::Revision,
    /// The configuration text of `revision`.
    pub text: String,
}
