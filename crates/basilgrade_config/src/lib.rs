//! Configuration and process settings: reading, checking, printing and comparing.

pub mod limits;
pub mod model;
pub mod parse;
pub mod problem;
pub mod settings;

mod nearest;
mod reader;
mod section;
mod source;
mod value;

pub use parse::parse;
pub use problem::Problem;
pub use problem::Problems;
