//! The delta format of the configuration package, as replay needs it.

use crate::merge;
use basilgrade_config::delta;

/// Applies deltas of configuration texts.
#[derive(Clone, Copy, Debug, Default)]
pub struct ConfigMerge;

impl merge::Merge for ConfigMerge {
    fn merge(&self, text: &str, delta: &str) -> Result<String, merge::MergeError> {
        delta::merge(text, delta).map_err(|error| merge::MergeError::Invalid(error.to_string()))
    }
}
