//! Interface that replay uses to apply a delta to a configuration text.

use quick_error::quick_error;

quick_error! {
    /// The error for a delta that does not apply to the configuration text in force.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum MergeError {
        /// The delta is malformed or refers to sections that the text does not have.
        Invalid(reason: String) {
            display("the delta does not apply to the configuration in force: {}; publish the whole text instead", reason)
        }
    }
}

/// Applies deltas in a format that the implementation defines.
///
/// The result must depend on the arguments alone and must be the same in every version of the
/// daemon. A publication whose delta does not apply is skipped, and all readers have to skip the
/// same publications.
pub trait Merge: Send + Sync {
    /// Applies `delta` to `text` and returns the resulting text.
    ///
    /// # Errors
    ///
    /// If `delta` does not apply to `text`; the publication then has no effect.
    fn merge(&self, text: &str, delta: &str) -> Result<String, MergeError>;
}
