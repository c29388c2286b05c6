//! This daemon's replay of the two log streams.

pub mod config_merge;
pub mod replica;
pub mod streams;
