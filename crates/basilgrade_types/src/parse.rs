//! The error that all `FromStr` implementations of this package return.

use quick_error::quick_error;

quick_error! {
    /// The error of a text that is not a valid value of the requested type.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum ParseError {
        /// The text does not have the form described by `expected`.
        Invalid(text: String, expected: &'static str) {
            display("`{}` is not valid; expected {}", text, expected)
        }
    }
}

impl ParseError {
    /// Creates the error for `text`; `expected` describes the valid form in the error message.
    pub fn new(text: &str, expected: &'static str) -> Self {
        // Keeps at most 64 characters, so that an error message never contains a whole body.
        Self::Invalid(text.chars().take(64).collect(), expected)
    }
}
