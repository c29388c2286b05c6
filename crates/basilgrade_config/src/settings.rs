//! Settings of one daemon process, read once at start.

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

/// Everything that a daemon needs to know before it has a configuration.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Settings {
    /// Who the daemon is and where it listens.
    pub process: process::Process,
    /// Where the platform is.
    pub platform: platform::Platform,
    /// The other daemons.
    pub peers: peers::Peers,
    /// Bounds on callers' requests; section `[limits]`.
    pub limits: request_limits::RequestLimits,
    /// Logging.
    pub log: log::Log,
    /// Shutdown.
    pub drain: drain::Drain,
    /// At-most-once claims.
    pub claims: claims::Claims,
}

/// Reads the settings of a process; `file` is the name used in errors.
///
/// # Errors
///
/// All faults at once, each with file, section, key, line and what was expected.
pub fn parse(text: &str, file: &str) -> Result<Settings, problem::Problems> {
    let mut source = source::Source::scan(text, file);
    let settings = sections::read(&mut source);
    match settings {
        Some(settings) => source.problems.finish(settings),
        None => Err(source.problems.sorted()),
    }
}
