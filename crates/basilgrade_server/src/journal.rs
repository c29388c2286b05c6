//! Replay of the log streams `config` and `control`.

pub mod replica;
pub mod streams;
