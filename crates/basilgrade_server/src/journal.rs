//! This daemon's replay of the two log streams.

pub mod replica;
pub mod streams;
