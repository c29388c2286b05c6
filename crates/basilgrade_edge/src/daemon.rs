//! Start, reload and shutdown of the daemon.

use std::fs;
use std::path;
use std::sync;
use std::time as std_time;

use basilgrade_fleet::placement;
use basilgrade_types::clock;
use tokio::net;
use tokio::signal::unix;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use crate::core;
use crate::follow::reader;
use crate::follow::register;
use crate::follow::state;
use crate::gather::client;
use crate::gather::gatherers;
use crate::gather::remote;
use crate::gather::router;
use crate::listener;
use crate::logger;
use crate::peers::links;
use crate::peers::server;
use crate::peers::sync as copies;
use crate::readiness;
use crate::serve;
use crate::settings;
use crate::view;

/// Time between the termination signal and the closing of idle connections: the balancer asks every
/// second and needs two misses, and connections that it had opened before bring their requests.
const LINGER: clock::Millis = clock::Millis(3000);

/// The process ends this long before it would be killed, as a slow VM needs time to end.
const KILL_MARGIN: clock::Millis = clock::Millis(1000);

/// Open requests are answered this long before the process ends, so that the answers get out.
const ANSWER_MARGIN: clock::Millis = clock::Millis(400);

/// Time between two looks at the settings file, which may change without a signal.
const SETTINGS_CHECK: clock::Millis = clock::Millis(2000);

/// Time between two looks for idle connections to close.
const SWEEP: clock::Millis = clock::Millis(1000);

fn read(file: &path::Path) -> Result<settings::Settings, String> {
    let text = fs::read_to_string(file)
        .map_err(|error| format!("cannot read `{}`: {error}; check the path", file.display()))?;
    settings::parse(&text).map_err(|error| format!("`{}`: {error}", file.display()))
}

fn first_view(settings: &settings::Settings) -> view::View {
    let place = placement::Topology {
        domain: settings.domain.clone(),
        regions: settings.regions.clone(),
    };
    view::View {
        configuration: None,
        directory: sync::Arc::default(),
        place: sync::Arc::new(place),
        daemons: 1,
        has_upstreams: false,
    }
}

async fn bind(address: std::net::SocketAddr) -> Result<net::TcpListener, String> {
    net::TcpListener::bind(address)
        .await
        .map_err(|error| format!("cannot listen on `{address}`: {error}; check the settings"))
}

/// Runs the daemon until it has been told to stop and has finished its requests.
///
/// # Errors
///
/// What keeps it from starting.
pub async fn run(file: path::PathBuf) -> Result<(), String> {
    let settings = read(&file)?;
    logger::start().map_err(|error| error.to_string())?;
    log::set_max_level(settings.level);
    log::info!(
        "event=start name={} domain={} callers={} peers={} store={}",
        settings.name,
        settings.domain,
        settings.callers,
        settings.peers,
        settings.store
    );
    // Registered before the start, so that a signal during the start is not lost.
    let mut terminate =
        unix::signal(unix::SignalKind::terminate()).map_err(|error| error.to_string())?;
    let hangup = unix::signal(unix::SignalKind::hangup()).map_err(|error| error.to_string())?;
    let callers = bind(settings.callers).await?;
    let ready = bind(settings.readiness).await?;
    let peers = bind(settings.peers).await?;
    let metrics = settings.metrics;
    let core = sync::Arc::new(core::Core::new(settings.clone(), first_view(&settings))?);
    let state = sync::Arc::new(state::State::new(sync::Arc::clone(&core)));
    let links = sync::Arc::new(links::Links::default());
    let (spent, is_spent) = mpsc::unbounded_channel();
    let gatherers = sync::Arc::new(gatherers::Gatherers::new(sync::Arc::clone(&core), spent));
    let remote = sync::Arc::new(remote::Remote::new(
        sync::Arc::clone(&core),
        sync::Arc::clone(&state),
        sync::Arc::clone(&links),
    ));
    let router = sync::Arc::new(router::Router::new(
        sync::Arc::clone(&core),
        sync::Arc::clone(&remote),
        sync::Arc::clone(&gatherers),
    ));
    let pieces = sync::Arc::new(client::Client::new(
        sync::Arc::clone(&core),
        remote,
        sync::Arc::clone(&gatherers),
        sync::Arc::clone(&router),
    ));
    let server = server::Server {
        core: sync::Arc::clone(&core),
        state: sync::Arc::clone(&state),
        gatherers,
        router,
    };
    let service = sync::Arc::new(serve::Service {
        core: sync::Arc::clone(&core),
        pieces: sync::Arc::clone(&pieces),
    });
    tokio::spawn(logger::flush_regularly());
    tokio::spawn(server.run(peers));
    tokio::spawn(readiness::run(sync::Arc::clone(&core), ready));
    if let Some(address) = metrics {
        let socket = bind(address).await?;
        tokio::spawn(readiness::run_metrics(sync::Arc::clone(&core), socket));
    }
    for topic in state::TOPICS {
        let reader = reader::Reader::new(sync::Arc::clone(&core), sync::Arc::clone(&state), topic);
        tokio::spawn(reader.run());
    }
    tokio::spawn(register::keep(
        sync::Arc::clone(&core),
        sync::Arc::clone(&state),
    ));
    let follower = copies::Follower {
        core: sync::Arc::clone(&core),
        state,
        links,
    };
    tokio::spawn(follower.run());
    tokio::spawn(sync::Arc::clone(&pieces).free_spent(is_spent));
    tokio::spawn(pieces.beat());
    tokio::spawn(reload(sync::Arc::clone(&core), file, hangup));
    tokio::spawn(sweep(sync::Arc::clone(&core)));
    let stop = CancellationToken::new();
    let accepting = tokio::spawn(listener::run(service, callers, stop.clone()));
    terminate.recv().await;
    finish(&core, stop, accepting).await;
    Ok(())
}

async fn sweep(core: sync::Arc<core::Core>) {
    loop {
        tokio::time::sleep(SWEEP.duration()).await;
        core.links.close_expired();
    }
}

async fn finish(
    core: &sync::Arc<core::Core>,
    stop: CancellationToken,
    accepting: tokio::task::JoinHandle<()>,
) {
    let grace = core.settings.load().grace;
    let end = tokio::time::Instant::now() + (grace - KILL_MARGIN).duration();
    let closing = grace - KILL_MARGIN - ANSWER_MARGIN;
    core.drain(core.now().plus(closing));
    let closed = sync::Arc::clone(core);
    tokio::spawn(async move {
        tokio::time::sleep(closing.duration()).await;
        closed.close();
    });
    log::info!("event=stopping active={} grace={grace}", core.active());
    let leaving = register::remove(core);
    tokio::join!(leaving, tokio::time::sleep(LINGER.duration()));
    stop.cancel();
    match tokio::time::timeout_at(end, accepting).await {
        Ok(Ok(())) => {}
        Ok(Err(error)) => log::error!("event=listener-failed reason={:?}", error.to_string()),
        Err(_) => log::warn!("event=stopped-early active={}", core.active()),
    }
    log::info!("event=stop active={}", core.active());
    logger::finish();
}

/// Reads the settings again when told to, or when the file has changed.
async fn reload(core: sync::Arc<core::Core>, file: path::PathBuf, mut hangup: unix::Signal) {
    let modified = |file: &path::Path| -> Option<std_time::SystemTime> {
        fs::metadata(file).and_then(|known| known.modified()).ok()
    };
    let mut known = modified(&file);
    loop {
        let is_told = tokio::select! {
            _ = hangup.recv() => true,
            () = tokio::time::sleep(SETTINGS_CHECK.duration()) => false,
        };
        let found = modified(&file);
        if !is_told && found == known {
            continue;
        }
        known = found;
        match read(&file) {
            Ok(settings) => {
                log::set_max_level(settings.level);
                log::info!(
                    "event=reloaded seeds={} store={} level={}",
                    settings.seeds.len(),
                    settings.store,
                    settings.level
                );
                core.reload(settings);
            }
            Err(reason) => log::error!("event=reload-failed reason={reason:?}"),
        }
    }
}
