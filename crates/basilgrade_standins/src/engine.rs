//! A model engine.

mod batch;
mod cache;
mod generation;
mod load_history;
pub mod options;
pub mod running;
mod state;
mod text;

pub use options::Fencing;
pub use options::Options;
pub use running::Engine;
pub use running::start;
pub use text::answer;
pub use text::prefix;
pub use text::token;
