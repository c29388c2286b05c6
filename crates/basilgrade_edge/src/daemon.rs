//! Start-up, settings reload and graceful shutdown of the edge daemon.

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

use crate::balance;
use crate::core;
use crate::follow::evidence_log;
use crate::follow::mirrors;
use crate::follow::reader;
use crate::follow::register;
use crate::follow::registrations;
use crate::follow::stream_log;
use crate::follow::stream_records;
use crate::gather::client;
use crate::gather::duty_client;
use crate::gather::gatherers;
use crate::gather::job_router;
use crate::listener;
use crate::logger;
use crate::peers::rpc_server;
use crate::peers::stream_copies;
use crate::peers::sync as peer_sync;
use crate::readiness;
use crate::serve;
use crate::settings;
use crate::view;

/// Time from the termination signal until the daemon closes its listener and idle connections.
///
/// The balancer probes readiness every second and stops sending after two failed probes; meanwhile,
/// connections that it has already opened still bring requests.
const DRAIN_LINGER: clock::Millis = clock::Millis(3000);

/// Margin between the planned end of the process and its kill by the platform; on a slow VM, the
/// process takes up to this time to exit.
const KILL_MARGIN: clock::Millis = clock::Millis(1000);

/// Margin between the answers to open requests and the planned end of the process, in which the
/// responses are sent.
const ANSWER_MARGIN: clock::Millis = clock::Millis(400);

/// Interval between checks of the settings file's modification time; the file may change without a
/// hangup signal.
const SETTINGS_CHECK_INTERVAL: clock::Millis = clock::Millis(2000);

/// Interval between sweeps that close expired idle connections to upstreams and the store.
const SWEEP_INTERVAL: clock::Millis = clock::Millis(1000);

fn read_settings(file: &path::Path) -> Result<settings::Settings, String> {
    let text = fs::read_to_string(file)
        .map_err(|error| format!("cannot read `{}`: {error}; check the path", file.display()))?;
    settings::parse(&text).map_err(|error| format!("`{}`: {error}", file.display()))
}

fn initial_view(settings: &settings::Settings) -> view::View {
    let topology = placement::Topology {
        domain: settings.domain.clone(),
        regions: settings.regions.clone(),
    };
    view::View {
        configuration: None,
        directory: sync::Arc::default(),
        topology: sync::Arc::new(topology),
        registered: sync::Arc::default(),
        daemons: 1,
        has_upstreams: false,
    }
}

async fn bind(address: std::net::SocketAddr) -> Result<net::TcpListener, String> {
    net::TcpListener::bind(address).await.map_err(|error| {
        format!("cannot listen on `{address}`: {error}; check the section `[listen]`")
    })
}

/// Runs the daemon until a termination signal has arrived and all open requests are finished, or
/// until the platform is about to kill the process.
///
/// # Errors
///
/// A message for the operator when the daemon cannot start.
pub async fn run(file: path::PathBuf) -> Result<(), String> {
    let settings = read_settings(&file)?;
    logger::start().map_err(|error| error.to_string())?;
    log::set_max_level(settings.level);
    log::info!(
        "event=start name={} domain={} callers={} peers={} store={} memory={}",
        settings.name,
        settings.domain,
        settings.callers,
        settings.peers,
        settings.store,
        settings.memory
    );
    // Signal handlers are registered before the listeners open, so that no later signal is lost.
    let mut terminate =
        unix::signal(unix::SignalKind::terminate()).map_err(|error| error.to_string())?;
    let hangup = unix::signal(unix::SignalKind::hangup()).map_err(|error| error.to_string())?;
    let callers = bind(settings.callers).await?;
    let readiness = bind(settings.readiness).await?;
    let peers = bind(settings.peers).await?;
    let metrics = settings.metrics;
    let core = sync::Arc::new(core::Core::new(settings.clone(), initial_view(&settings))?);
    let mirrors = sync::Arc::new(mirrors::Mirrors::new(sync::Arc::clone(&core)));
    let registrations = sync::Arc::new(registrations::Registrations::new(
        sync::Arc::clone(&core),
        sync::Arc::clone(&mirrors),
    ));
    let (consumed, consumed_inputs) = mpsc::unbounded_channel();
    let gatherers = sync::Arc::new(gatherers::Gatherers::new(sync::Arc::clone(&core), consumed));
    let duty_client = sync::Arc::new(duty_client::DutyClient::new(
        sync::Arc::clone(&core),
        sync::Arc::clone(&mirrors),
    ));
    let job_router = sync::Arc::new(job_router::JobRouter::new(
        sync::Arc::clone(&core),
        sync::Arc::clone(&duty_client),
        sync::Arc::clone(&gatherers),
    ));
    let job_client = sync::Arc::new(client::JobClient::new(
        sync::Arc::clone(&core),
        duty_client,
        sync::Arc::clone(&gatherers),
        sync::Arc::clone(&job_router),
    ));
    let rpc_server = rpc_server::RpcServer {
        core: sync::Arc::clone(&core),
        mirrors: sync::Arc::clone(&mirrors),
        registrations: sync::Arc::clone(&registrations),
        gatherers,
        job_router,
        packer: sync::Arc::default(),
    };
    let service = sync::Arc::new(serve::Service {
        core: sync::Arc::clone(&core),
        job_client: sync::Arc::clone(&job_client),
        stream_log: stream_log::StreamLog::new(sync::Arc::clone(&core), registrations),
    });
    tokio::spawn(logger::flush_regularly());
    tokio::spawn(rpc_server.run(peers));
    tokio::spawn(readiness::run(sync::Arc::clone(&core), readiness));
    if let Some(address) = metrics {
        let socket = bind(address).await?;
        tokio::spawn(readiness::run_metrics(sync::Arc::clone(&core), socket));
    }
    for topic in mirrors::TOPICS {
        let reader =
            reader::TopicReader::new(sync::Arc::clone(&core), sync::Arc::clone(&mirrors), topic);
        tokio::spawn(reader.run());
    }
    tokio::spawn(register::keep_registered(
        sync::Arc::clone(&core),
        sync::Arc::clone(&mirrors),
    ));
    tokio::spawn(evidence_log::publish(sync::Arc::clone(&core)));
    tokio::spawn(stream_records::share(sync::Arc::clone(&core)));
    tokio::spawn(stream_records::record(sync::Arc::clone(&core)));
    tokio::spawn(stream_copies::send(sync::Arc::clone(&core)));
    tokio::spawn(balance::run(sync::Arc::clone(&core)));
    let follower = peer_sync::Follower {
        core: sync::Arc::clone(&core),
        mirrors,
    };
    tokio::spawn(follower.run());
    tokio::spawn(sync::Arc::clone(&job_client).release_consumed(consumed_inputs));
    tokio::spawn(job_client.poll_loads());
    tokio::spawn(reload(sync::Arc::clone(&core), file, hangup));
    tokio::spawn(close_idle_connections(sync::Arc::clone(&core)));
    let stop = CancellationToken::new();
    let accepting = tokio::spawn(listener::run(service, callers, stop.clone()));
    terminate.recv().await;
    shut_down(&core, stop, accepting).await;
    Ok(())
}

async fn close_idle_connections(core: sync::Arc<core::Core>) {
    loop {
        tokio::time::sleep(SWEEP_INTERVAL.duration()).await;
        core.connections.close_expired();
    }
}

async fn shut_down(
    core: &sync::Arc<core::Core>,
    stop: CancellationToken,
    accepting: tokio::task::JoinHandle<()>,
) {
    let grace = core.settings.load().grace;
    let end_at = tokio::time::Instant::now() + (grace - KILL_MARGIN).duration();
    let closing = grace - KILL_MARGIN - ANSWER_MARGIN;
    core.drain(core.now().plus(closing));
    let closing_core = sync::Arc::clone(core);
    tokio::spawn(async move {
        tokio::time::sleep(closing.duration()).await;
        closing_core.signal_closing();
    });
    log::info!(
        "event=stopping active={} grace={grace}",
        core.active_requests()
    );
    let leaving = register::unregister(core);
    tokio::join!(leaving, tokio::time::sleep(DRAIN_LINGER.duration()));
    stop.cancel();
    match tokio::time::timeout_at(end_at, accepting).await {
        Ok(Ok(())) => {}
        Ok(Err(error)) => log::error!("event=listener-failed reason={:?}", error.to_string()),
        Err(_) => log::warn!("event=stopped-early active={}", core.active_requests()),
    }
    core.tunnels.close();
    if tokio::time::timeout_at(end_at, core.tunnels.wait())
        .await
        .is_err()
    {
        log::warn!("event=stopped-early tunnels={}", core.tunnels.len());
    }
    log::info!("event=stop active={}", core.active_requests());
    logger::finish();
}

/// Reloads the settings on a hangup signal or when the modification time of `file` changes.
///
/// Invalid settings are logged, and the settings in force stay.
async fn reload(core: sync::Arc<core::Core>, file: path::PathBuf, mut hangup: unix::Signal) {
    let modified = |file: &path::Path| -> Option<std_time::SystemTime> {
        fs::metadata(file).and_then(|known| known.modified()).ok()
    };
    let mut known = modified(&file);
    loop {
        let is_signalled = tokio::select! {
            _ = hangup.recv() => true,
            () = tokio::time::sleep(SETTINGS_CHECK_INTERVAL.duration()) => false,
        };
        let found = modified(&file);
        if !is_signalled && found == known {
            continue;
        }
        known = found;
        match read_settings(&file) {
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
