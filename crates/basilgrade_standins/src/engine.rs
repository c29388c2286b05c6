//! A model engine.

mod generation;
mod generation_slots;
mod kv_cache;
mod load_history;
pub mod options;
pub mod running_engine;
mod shared_state;
mod token_text;

pub use options::Fencing;
pub use options::Options;
pub use running_engine::Engine;
pub use running_engine::start;
pub use token_text::completion;
pub use token_text::prefix_hash;
pub use token_text::token;
