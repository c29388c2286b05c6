//! The command line.

pub(crate) mod daemon;
pub(crate) mod format;
pub(crate) mod platform;

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

const FOOTER: &str = "Exit codes: 0 done, 1 problem found, 2 usage, 3 unreachable (nothing was done), \
4 another publication was first, 5 outcome unknown";

/// Checks and publishes configurations and looks after daemons of basilgrade.
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
    /// Checks a configuration and reports all faults
    #[bpaf(command)]
    Check {
        #[bpaf(external)]
        format: Format,
        #[bpaf(external)]
        file: path::PathBuf,
    },
    /// Shows how a configuration differs from the one in force
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
    /// Shows the decisions of a request
    #[bpaf(command)]
    Explain {
        #[bpaf(external)]
        format: Format,
        #[bpaf(external)]
        daemon: Daemon,
        /// The `basilgrade-request-id` of an answer
        #[bpaf(positional("REQUEST"))]
        request: request::RequestId,
    },
    /// Changes the log level of a daemon until it ends
    #[bpaf(command("log-level"))]
    LogLevel {
        #[bpaf(external)]
        format: Format,
        #[bpaf(external)]
        daemon: Daemon,
        #[bpaf(external)]
        level: level::Level,
    },
    /// Publishes a configuration
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
    /// Shows the configuration in force according to the log, or to a daemon with `--admin`
    #[bpaf(command)]
    Show {
        #[bpaf(external)]
        format: Format,
        #[bpaf(external)]
        source: Source,
    },
    /// Shows what a daemon knows and does
    #[bpaf(command)]
    Status {
        #[bpaf(external)]
        format: Format,
        #[bpaf(external)]
        daemon: Daemon,
    },
}

/// Where to read the configuration in force
#[derive(Bpaf, Clone, Debug)]
pub(crate) enum Source {
    /// From a daemon.
    Daemon(#[bpaf(external(daemon))] Daemon),
    /// From the log.
    Log(#[bpaf(external(platform))] Platform),
}

fn file() -> impl Parser<path::PathBuf> {
    bpaf::positional("FILE")
        .help("A configuration, an INI file")
        .complete_shell(ShellComp::File {
            mask: Some("*.ini"),
        })
}

fn level() -> impl Parser<level::Level> {
    let levels = |text: &String| {
        ["off", "error", "warn", "info", "debug", "trace"]
            .into_iter()
            .filter(|level| level.starts_with(text.as_str()))
            .map(|level| (level, None))
            .collect::<Vec<(&str, Option<&str>)>>()
    };
    bpaf::positional::<String>("LEVEL")
        .help("`off`, `error`, `warn`, `info`, `debug` or `trace`")
        .complete(levels)
        .parse(|text| text.parse::<level::Level>())
}
