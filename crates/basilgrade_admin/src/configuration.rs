//! The configuration in force.

use basilgrade_types::revision;
use serde::Serialize;

/// The configuration that a daemon works by.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Configuration {
    /// Its revision.
    pub revision: revision::Revision,
    /// Its text.
    pub text: String,
}
