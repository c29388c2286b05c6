//! Applying a delta to a configuration text.

use quick_error::quick_error;

quick_error! {
    /// A delta that does not apply to the text in force.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum MergeError {
        /// The delta is malformed or names parts that the text does not have.
        Invalid(reason: String) {
            display("the delta does not apply: {}; publish the whole text instead", reason)
        }
    }
}

/// The delta format, which the configuration package owns.
///
/// The result must depend on the arguments alone and be the same in every version of the daemon:
/// a publication whose delta does not merge is skipped, and all readers have to agree on that.
pub trait Merge: Send + Sync {
    /// Applies `delta` to `text`.
    ///
    /// # Errors
    ///
    /// When the delta does not apply; the publication then has no effect.
    fn merge(&self, text: &str, delta: &str) -> Result<String, MergeError>;
}
