//! The basilgrade daemon.

use std::fs;
use std::path;
use std::process as std_process;

use basilgrade_adapter::process;
use basilgrade_config::settings;
use basilgrade_edge::daemon;
use basilgrade_server::daemon as own;
use basilgrade_server::logger;
use basilgrade_server::platform;
use bpaf::Bpaf;
use tokio::signal::unix;

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

/// Serves model pipelines and services between callers and upstreams.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, version)]
enum Options {
    /// Serves with a settings file of its own
    Daemon {
        /// Settings of this process, an INI file
        #[bpaf(short, long, argument("FILE"))]
        settings: path::PathBuf,
    },
    /// Serves on an entry VM of the users' platform
    #[bpaf(command)]
    Edge {
        /// Settings of this process, an INI file; by default the one that the platform names
        #[bpaf(short, long, argument("FILE"))]
        settings: Option<path::PathBuf>,
    },
}

fn read(file: &path::Path) -> Result<settings::Settings, String> {
    let name = file.display().to_string();
    let text = fs::read_to_string(file)
        .map_err(|error| format!("cannot read `{name}`: {error}; check the path"))?;
    settings::parse(&text, &name).map_err(|problems| problems.to_string())
}

async fn serve(settings: settings::Settings) -> Result<(), String> {
    logger::start(settings.log.level).map_err(|error| error.to_string())?;
    let platform = platform::Platform::http(settings.platform.address);
    // Registered before the start, so that a signal during the start is not lost.
    let mut terminate =
        unix::signal(unix::SignalKind::terminate()).map_err(|error| error.to_string())?;
    let mut interrupt =
        unix::signal(unix::SignalKind::interrupt()).map_err(|error| error.to_string())?;
    let daemon = own::Daemon::start(settings, platform)
        .await
        .map_err(|error| error.to_string())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
        () = daemon.stopping() => {}
    }
    daemon.stop();
    // The handlers stay registered, so a second signal does not end the process early.
    daemon.finished().await;
    Ok(())
}

/// Serves with all cores; settings name everything.
fn run_daemon(file: &path::Path) -> Result<(), String> {
    let settings = read(file)?;
    tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .map_err(|error| error.to_string())?
        .block_on(serve(settings))
}

/// Serves on an entry VM, which has a part of one core.
fn run_edge(file: Option<path::PathBuf>) -> Result<(), String> {
    let missing = "no settings file is named; give one with `--settings`";
    let file = file
        .or_else(process::settings_file)
        .ok_or_else(|| missing.to_owned())?;
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
