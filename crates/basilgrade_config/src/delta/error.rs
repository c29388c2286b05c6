//! Why a delta could not be applied.

use quick_error::quick_error;

use crate::digest;

quick_error! {
    /// Why a delta could not be applied.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum DeltaError {
        /// The delta does not have the agreed form.
        Malformed(what: &'static str) {
            display("the delta is malformed; expected {}", what)
        }
        /// The result is longer than a configuration may be.
        TooLong {
            display("the result of the delta is too long; shorten the configuration")
        }
        /// The delta was made for another text.
        WrongBase(expected: digest::Digest, found: digest::Digest) {
            display("the delta is for base `{}`, but the text is `{}`; make a delta for this text", expected, found)
        }
        /// The steps do not give the recorded result.
        WrongResult {
            display("the delta does not give its recorded result; make it again")
        }
    }
}
