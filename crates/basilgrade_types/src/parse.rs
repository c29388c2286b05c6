//! The error of every `FromStr` in this package.

use quick_error::quick_error;

quick_error! {
    /// A text that is not a valid value of the wanted type.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum ParseError {
        /// The text does not have the form `expected`.
        Invalid(text: String, expected: &'static str) {
            display("`{}` is not valid; expected {}", text, expected)
        }
    }
}

impl ParseError {
    /// Builds the error for `text`, saying what was expected instead.
    pub fn new(text: &str, expected: &'static str) -> Self {
        // Only the start of an overlong text is kept, so that an error never carries a whole body.
        Self::Invalid(text.chars().take(64).collect(), expected)
    }
}
