//! Adapter from the delta format of `basilgrade_config` to [`merge::Merge`].

use crate::merge;
use basilgrade_config::delta;

/// Applies deltas to configuration texts with [`delta::merge`].
#[derive(Clone, Copy, Debug, Default)]
pub struct ConfigMerge;

impl merge::Merge for ConfigMerge {
    fn merge(&self, text: &str, delta: &str) -> Result<String, merge::MergeError> {
        delta::merge(text, delta).map_err(|error| merge::MergeError::Invalid(error.to_string()))
    }
}
