//! Settings of one daemon process, read once at startup.

pub mod claims;
pub mod drain;
pub mod log;
pub mod peers;
pub mod platform;
pub mod process;
pub mod request_limits;

mod sections;

use crate::problem;
use crate::source;

/// The settings that a daemon needs before it has received a configuration.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Settings {
    /// Identity and listen addresses of the daemon; section `[process]`.
    pub process: process::Process,
    /// The address of the platform's HTTP interface; section `[platform]`.
    pub platform: platform::Platform,
    /// How to discover and authenticate other daemons; section `[peers]`.
    pub peers: peers::Peers,
    /// Limits on callers' requests; section `[limits]`.
    pub limits: request_limits::RequestLimits,
    /// The log level; section `[log]`.
    pub log: log::Log,
    /// Graceful shutdown; section `[drain]`.
    pub drain: drain::Drain,
    /// At-most-once claims; section `[claims]`.
    pub claims: claims::Claims,
}

/// Parses the settings of a process; `file` is the file name in error messages.
///
/// # Errors
///
/// All problems in the text, each with its file, line, section, key and the expected value.
pub fn parse(text: &str, file: &str) -> Result<Settings, problem::Problems> {
    let mut source = source::Source::scan(text, file);
    let settings = sections::read(&mut source);
    match settings {
        Some(settings) => source.problems.finish(settings),
        None => Err(source.problems.sorted()),
    }
}
