//! Command-line options and commands, parsed with bpaf.

pub(crate) mod daemon;
pub(crate) mod format;
pub(crate) mod platform;
pub(crate) mod platform_check;

use std::path;

use basilgrade_config::settings::log::level;
use basilgrade_types::request;
use basilgrade_types::revision;
use bpaf::Bpaf;
use bpaf::Parser;
use bpaf::ShellComp;

use crate::options::daemon::Daemon;
use crate::options::daemon::daemon;
use crate::options::format::Format;
use crate::options::format::format;
use crate::options::platform::Platform;
use crate::options::platform::platform;
use crate::options::platform_check::PlatformCheck;
use crate::options::platform_check::platform_check;

const FOOTER: &str = "Exit codes: 0 done, 1 problem found, 2 usage or unreadable JSON, 3 unreachable (nothing was done), \
4 another publication took effect first, 5 outcome unknown";

/// Checks and publishes configurations, and inspects and controls daemons of basilgrade.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, version, footer(FOOTER))]
pub(crate) struct Options {
    /// Commands
    #[bpaf(external)]
    pub(crate) command: Command,
}

/// Commands
#[derive(Bpaf, Clone, Debug)]
pub(crate) enum Command {
    /// Checks a configuration file and reports all problems
    #[bpaf(command)]
    Check {
        #[bpaf(external)]
        format: Format,
        #[bpaf(external)]
        platform_check: PlatformCheck,
        #[bpaf(external)]
        file: path::PathBuf,
    },
    /// Shows the differences between a configuration file and the configuration in force
    #[bpaf(command)]
    Diff {
        #[bpaf(external)]
        format: Format,
        #[bpaf(external)]
        platform: Platform,
        #[bpaf(external)]
        file: path::PathBuf,
    },
    /// Drains a daemon, as SIGTERM does
    #[bpaf(command)]
    Drain {
        #[bpaf(external)]
        format: Format,
        #[bpaf(external)]
        daemon: Daemon,
    },
    /// Shows the decisions that a daemon made for a request
    #[bpaf(command)]
    Explain {
        #[bpaf(external)]
        format: Format,
        #[bpaf(external)]
        daemon: Daemon,
        /// The value of the `basilgrade-request-id` header of the response
        #[bpaf(positional("REQUEST"))]
        request: request::RequestId,
    },
    /// Changes the log level of a daemon until it restarts
    #[bpaf(command("log-level"))]
    LogLevel {
        #[bpaf(external)]
        format: Format,
        #[bpaf(external)]
        daemon: Daemon,
        #[bpaf(external)]
        level: level::Level,
    },
    /// Publishes a configuration file and waits for the outcome
    #[bpaf(command)]
    Publish {
        #[bpaf(external)]
        format: Format,
        #[bpaf(external)]
        platform: Platform,
        /// Publish only if this revision is in force
        #[bpaf(long, argument("REVISION"))]
        base: Option<revision::Revision>,
        #[bpaf(external)]
        file: path::PathBuf,
    },
    /// Shows the configuration in force, read from the log or, with `--admin`, from a daemon
    #[bpaf(command)]
    Show {
        #[bpaf(external)]
        format: Format,
        #[bpaf(external)]
        source: Source,
    },
    /// Shows the phase, revision, members, slots and counters of a daemon
    #[bpaf(command)]
    Status {
        #[bpaf(external)]
        format: Format,
        #[bpaf(external)]
        daemon: Daemon,
    },
}

/// Source from which to read the configuration in force
#[derive(Bpaf, Clone, Debug)]
pub(crate) enum Source {
    /// The configuration that a daemon has in force.
    Daemon(#[bpaf(external(daemon))] Daemon),
    /// The configuration in force according to the log of the platform.
    Log(#[bpaf(external(platform))] Platform),
}

fn file() -> impl Parser<path::PathBuf> {
    bpaf::positional("FILE")
        .help("Path of the configuration, an INI file; `check` also takes JSON for the platform")
        .complete_shell(ShellComp::File {
            mask: Some("*.ini"),
        })
}

fn level() -> impl Parser<level::Level> {
    let complete_level = |text: &String| {
        ["off", "error", "warn", "info", "debug", "trace"]
            .into_iter()
            .filter(|level| level.starts_with(text.as_str()))
            .map(|level| (level, None))
            .collect::<Vec<(&str, Option<&str>)>>()
    };
    bpaf::positional::<String>("LEVEL")
        .help("`off`, `error`, `warn`, `info`, `debug` or `trace`")
        .complete(complete_level)
        .parse(|text| text.parse::<level::Level>())
}
