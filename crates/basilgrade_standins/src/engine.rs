//! Stand-in for a model engine.

mod generation;
mod generation_slots;
mod kv_cache;
mod load_history;
pub mod options;
pub mod running_engine;
mod state;
mod text;

pub use options::Fencing;
pub use options::Options;
pub use running_engine::Engine;
pub use running_engine::start;
pub use text::completion;
pub use text::prefix_hash;
pub use text::token;
