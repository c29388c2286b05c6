//! Command line of the basilgrade daemon: reads the settings, runs the daemon and stops it on
//! SIGTERM or SIGINT.

use std::fs;
use std::path;
use std::process as std_process;

use basilgrade_adapter::process;
use basilgrade_config::settings;
use basilgrade_edge::daemon;
use basilgrade_server::daemon as server_daemon;
use basilgrade_server::logger;
use basilgrade_server::platform;
use bpaf::Bpaf;
use tokio::signal::unix;

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

/// Routes requests for model pipelines and services from callers to upstreams.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, version)]
enum Options {
    /// Runs the daemon with the given settings file
    Daemon {
        /// INI file with the settings of this process
        #[bpaf(short, long, argument("FILE"))]
        settings: path::PathBuf,
    },
    /// Runs the daemon on an entry VM of the users' platform
    #[bpaf(command)]
    Edge {
        /// INI file with the settings of this process; defaults to the file that the platform names
        #[bpaf(short, long, argument("FILE"))]
        settings: Option<path::PathBuf>,
    },
}

fn read_settings(file: &path::Path) -> Result<settings::Settings, String> {
    let name = file.display().to_string();
    let text = fs::read_to_string(file)
        .map_err(|error| format!("cannot read settings file `{name}`: {error}; check the path"))?;
    settings::parse(&text, &name).map_err(|problems| problems.to_string())
}

async fn serve(settings: settings::Settings) -> Result<(), String> {
    logger::start(settings.log.level).map_err(|error| error.to_string())?;
    let platform = platform::Platform::http(settings.platform.address);
    // The signal handlers are registered before the daemon starts, so that a signal during
    // start-up also shuts it down gracefully.
    let mut terminate =
        unix::signal(unix::SignalKind::terminate()).map_err(|error| error.to_string())?;
    let mut interrupt =
        unix::signal(unix::SignalKind::interrupt()).map_err(|error| error.to_string())?;
    let daemon = server_daemon::Daemon::start(settings, platform)
        .await
        .map_err(|error| error.to_string())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
        () = daemon.stopping() => {}
    }
    daemon.stop();
    // The signal handlers stay registered while the daemon drains, so a second signal does not
    // abort the drain.
    daemon.finished().await;
    Ok(())
}

/// Runs the daemon on a multi-threaded runtime that uses all cores.
fn run_daemon(file: &path::Path) -> Result<(), String> {
    let settings = read_settings(file)?;
    tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .map_err(|error| error.to_string())?
        .block_on(serve(settings))
}

/// Runs the daemon on a single-threaded runtime, as an entry VM provides only part of one core.
fn run_edge(file: Option<path::PathBuf>) -> Result<(), String> {
    let missing_file = "no settings file given; pass one with `--settings`";
    let file = file
        .or_else(process::settings_file)
        .ok_or_else(|| missing_file.to_owned())?;
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|error| error.to_string())?
        .block_on(daemon::run(file))
}

fn main() -> std_process::ExitCode {
    let outcome = match options().run() {
        Options::Daemon { settings } => run_daemon(&settings),
        Options::Edge { settings } => run_edge(settings),
    };
    match outcome {
        Ok(()) => std_process::ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("{message}");
            std_process::ExitCode::FAILURE
        }
    }
}
