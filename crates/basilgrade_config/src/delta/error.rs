//! Errors of applying a delta.

use quick_error::quick_error;

use crate::digest;

quick_error! {
    /// The reason why a delta could not be applied to a text.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum DeltaError {
        /// The delta does not follow the format; the text describes the expected part.
        Malformed(what: &'static str) {
            display("the delta is malformed; expected {}", what)
        }
        /// The result exceeds the maximum size of a configuration text.
        TooLong {
            display("the result of the delta exceeds the maximum size of a configuration; shorten the configuration")
        }
        /// The delta was computed for another base text; holds the expected and the actual digest.
        WrongBase(expected: digest::Digest, found: digest::Digest) {
            display("the delta applies to the text with digest `{}`, but the given text has digest `{}`; create a delta for the given text", expected, found)
        }
        /// The digest of the result differs from the one recorded in the delta.
        WrongResult {
            display("the digest of the result differs from the `result` line of the delta; create the delta again")
        }
    }
}
