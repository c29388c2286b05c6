//! `basilctl`, the command-line tool for operators of basilgrade.

pub mod code;
pub mod publish;
pub mod stream;

mod command;
mod options;
mod report;
mod run;

pub use run::main;
