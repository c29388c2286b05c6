//! The delta format of the configuration package, as the journal needs it.

use basilgrade_config::delta;
use basilgrade_journal::merge;

/// Applies deltas of configuration texts.
pub(super) struct ConfigMerge;

impl merge::Merge for ConfigMerge {
    fn merge(&self, text: &str, delta: &str) -> Result<String, merge::MergeError> {
        delta::merge(text, delta).map_err(|error| merge::MergeError::Invalid(error.to_string()))
    }
}
