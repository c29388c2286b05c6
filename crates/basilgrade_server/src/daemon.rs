//! Start, tasks and shutdown of a daemon.

use std::io;
use std::net;
use std::sync;

use basilgrade_claims::settings as claims;
use basilgrade_config::settings;
use basilgrade_peer::listener as peer_listener;
use basilgrade_peer::server;
use basilgrade_types::clock;
use quick_error::quick_error;
use tokio::task;
use tokio_util::sync::CancellationToken;

use crate::assembly;
use crate::background;
use crate::cluster;
use crate::core;
use crate::ledger;
use crate::listener;
use crate::operator;
use crate::peer_handler;
use crate::platform;

quick_error! {
    /// Reason why a daemon did not start.
    #[derive(Debug)]
    pub enum StartError {
        /// An address cannot be bound.
        Bind(address: net::SocketAddr, error: io::Error) {
            display("cannot listen on `{}`: {}; check the addresses under `[process]`", address, error)
            source(error)
        }
        /// The metrics cannot be set up.
        Metrics(reason: String) {
            display("cannot set up metrics: {}; report this as a bug", reason)
        }
    }
}

/// Maximum wait at shutdown for the hand-over of slots; changing the owners of all slots takes one
/// append to the log.
const HAND_OVER_TIMEOUT: clock::Millis = clock::Millis::from_secs(10);

/// Interval between checks of whether all slots are handed over.
const HAND_OVER_POLL_INTERVAL: clock::Millis = clock::Millis(50);

/// A running daemon.
pub struct Daemon {
    /// State shared by the requests of the daemon.
    pub core: sync::Arc<core::Core>,
    /// Address that callers connect to.
    pub caller: net::SocketAddr,
    stop: CancellationToken,
    task: task::JoinHandle<()>,
}

impl Daemon {
    /// Binds the addresses and starts all tasks.
    ///
    /// # Errors
    ///
    /// Returns a [`StartError`] that names the address or component, if an address cannot be bound
    /// or the metrics cannot be set up.
    pub async fn start(
        settings: settings::Settings,
        platform: platform::Platform,
    ) -> Result<Self, StartError> {
        let parts = assembly::assemble(&settings, &platform)?;
        let core = sync::Arc::clone(&parts.reader.core);
        let address = settings.process.caller_address;
        let bind = |error| StartError::Bind(address, error);
        let listener = listener::Listener::bind(sync::Arc::clone(&core), address)
            .await
            .map_err(bind)?;
        let caller = listener.address().map_err(bind)?;
        let stop = CancellationToken::new();
        let background = CancellationToken::new();
        let ledger = parts.reader.ledger.clone();
        let cluster = parts.reader.cluster.clone();
        let admin = start_admin(&parts.reader, &settings, &stop)?;
        spawn_tasks(parts, &settings, platform, &background).await?;
        let linger = settings.drain.linger;
        let serving = listener.run(stop.clone(), linger);
        let task = tokio::spawn(async move {
            serving.await;
            hand_over(&ledger, &cluster).await;
            background.cancel();
            drop(admin);
        });
        log::info!(
            "event=started vm={} domain={} caller={caller}",
            settings.process.vm,
            settings.process.domain
        );
        Ok(Self {
            core,
            caller,
            stop,
            task,
        })
    }

    /// Starts a graceful shutdown; further calls have no effect.
    pub fn stop(&self) {
        self.stop.cancel();
    }

    /// Waits until a shutdown starts, through [`Daemon::stop`] or an operator's drain command.
    pub async fn stopping(&self) {
        self.stop.cancelled().await;
    }

    /// Waits until a shutdown has finished all requests and background tasks have been told to
    /// stop.
    pub async fn finished(self) {
        if let Err(error) = self.task.await {
            log::error!("event=daemon-failed error={:?}", error.to_string());
        }
    }
}

fn start_admin(
    reader: &background::reader::Reader,
    settings: &settings::Settings,
    stop: &CancellationToken,
) -> Result<basilgrade_admin::Server, StartError> {
    let operator = operator::Operator {
        core: sync::Arc::clone(&reader.core),
        cluster: reader.cluster.clone(),
        ledger: reader.ledger.clone(),
        streams: sync::Arc::clone(&reader.streams),
        stop: stop.clone(),
    };
    let address = settings.process.admin_address;
    let secret = settings.peers.secret.clone();
    basilgrade_admin::Server::start(address, secret, sync::Arc::new(operator))
        .map_err(|error| StartError::Bind(address, error))
}

async fn spawn_tasks(
    assembly: assembly::Assembly,
    settings: &settings::Settings,
    platform: platform::Platform,
    stop: &CancellationToken,
) -> Result<(), StartError> {
    let assembly::Assembly {
        reader,
        secret,
        traffic,
    } = assembly;
    let metrics = &reader.core.components.metrics;
    metrics.observe_traffic(sync::Arc::clone(&traffic));
    let address = settings.process.peer_address;
    let peers = peer_listener::Listener::bind(address, secret, traffic)
        .await
        .map_err(|error| StartError::Bind(address, error))?;
    let handler = peer_handler::PeerHandler {
        cluster: reader.cluster.clone(),
        ledger: reader.ledger.clone(),
        streams: sync::Arc::clone(&reader.streams),
    };
    let server = server::PeerServer::new(sync::Arc::new(handler));
    tokio::spawn(peers.run(server, stop.clone()));
    tokio::spawn(background::gossip::run(
        sync::Arc::clone(&reader.core),
        reader.cluster.clone(),
        stop.clone(),
    ));
    let claims = claims::Settings {
        autonomy: settings.claims.autonomy,
        horizon: settings.claims.horizon,
        ..claims::Settings::default()
    };
    tokio::spawn(background::gossip::run_claims(
        reader.cluster.clone(),
        sync::Arc::clone(&reader.streams),
        reader.ledger.clone(),
        settings.process.domain.clone(),
        claims,
        stop.clone(),
    ));
    tokio::spawn(background::vms::run(
        sync::Arc::clone(&reader.core),
        reader.cluster.clone(),
        platform,
        settings.peers.seeds.clone(),
        stop.clone(),
    ));
    tokio::spawn(background::health::run(
        sync::Arc::clone(&reader.core),
        reader.cluster.clone(),
        stop.clone(),
    ));
    tokio::spawn(background::cache::run(
        sync::Arc::clone(&reader.core),
        stop.clone(),
    ));
    tokio::spawn(background::load::run(
        sync::Arc::clone(&reader.core),
        stop.clone(),
    ));
    tokio::spawn(background::placement::run(reader.clone(), stop.clone()));
    tokio::spawn(reader.run(stop.clone()));
    Ok(())
}

/// Hands over all slots, so that their keys stay usable. The wait is limited, because a peer or log
/// that does not respond must not keep the process alive forever.
async fn hand_over(ledger: &ledger::slots::SlotLedger, cluster: &cluster::Cluster) {
    cluster.leave();
    ledger.drain();
    let drained = async {
        while !ledger.is_drained() {
            tokio::time::sleep(HAND_OVER_POLL_INTERVAL.duration()).await;
        }
    };
    match tokio::time::timeout(HAND_OVER_TIMEOUT.duration(), drained).await {
        Ok(()) => log::info!("event=slots-handed-over"),
        Err(_) => log::warn!("event=hand-over-incomplete waited={HAND_OVER_TIMEOUT}"),
    }
}
