//! The basilgrade daemon.

use std::fs;
use std::path;
use std::process;

use basilgrade_config::settings;
use basilgrade_server::daemon;
use basilgrade_server::logger;
use basilgrade_server::platform;
use bpaf::Bpaf;
use tokio::signal::unix;

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

/// Serves model pipelines and services between callers and upstreams.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, version)]
struct Options {
    /// Settings of this process, an INI file
    #[bpaf(short, long, argument("FILE"))]
    settings: path::PathBuf,
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
    let daemon = daemon::Daemon::start(settings, platform)
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

fn main() -> process::ExitCode {
    let options = options().run();
    let outcome = read(&options.settings).and_then(|settings| {
        tokio::runtime::Builder::new_multi_thread()
            .enable_all()
            .build()
            .map_err(|error| error.to_string())?
            .block_on(serve(settings))
    });
    match outcome {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("{message}");
            process::ExitCode::FAILURE
        }
    }
}
