//! The delta format of the configuration package, as the journal needs it.

use basilgrade_journal::merge;

/// Applies deltas of configuration texts.
#[derive(Clone, Copy, Debug, Default)]
pub struct ConfigMerge;

impl merge::Merge for ConfigMerge {
    fn merge(&self, _text: &str, _delta: &str) -> Result<String, merge::MergeError> {
        Err(merge::MergeError::Invalid(
            "deltas are not supported by this version".to_owned(),
        ))
    }
}
