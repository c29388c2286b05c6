//! Parses, validates, prints and compares configurations, and parses the settings of daemons.

pub mod delta;
pub mod diff;
pub mod digest;
pub mod limits;
pub mod model;
pub mod parse;
pub mod print;
pub mod problem;
pub mod settings;

mod nearest;
mod reader;
mod section;
mod source;
mod value;

pub use delta::delta;
pub use delta::merge;
pub use diff::diff;
pub use parse::parse;
pub use print::print;
pub use problem::Problem;
pub use problem::Problems;
