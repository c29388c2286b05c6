//! A whole daemon: its parts, tasks and shutdown.

use std::io;
use std::net;
use std::sync;

use basilgrade_config::settings;
use basilgrade_policy::router;
use basilgrade_types::clock;
use basilgrade_upstream::client;
use basilgrade_upstream::upstream;
use quick_error::quick_error;
use tokio::task;
use tokio_util::sync::CancellationToken;

use crate::background;
use crate::core;
use crate::journal::streams;
use crate::ledger;
use crate::limits;
use crate::listener;
use crate::metrics;
use crate::platform;

quick_error! {
    /// Why a daemon did not start.
    #[derive(Debug)]
    pub enum StartError {
        /// An address cannot be bound.
        Bind(address: net::SocketAddr, error: io::Error) {
            display("cannot listen on `{}`: {}; check the addresses under `[process]`", address, error)
            source(error)
        }
        /// The metrics cannot be set up.
        Metrics(reason: String) {
            display("cannot set up metrics: {}", reason)
        }
    }
}

/// A running daemon.
pub struct Daemon {
    /// State shared by its requests.
    pub core: sync::Arc<core::Core>,
    /// Where callers connect.
    pub caller: net::SocketAddr,
    stop: CancellationToken,
    task: task::JoinHandle<()>,
}

impl Daemon {
    /// Binds the addresses and starts all tasks.
    ///
    /// # Errors
    ///
    /// [`StartError`] names the setting to correct.
    pub async fn start(
        settings: settings::Settings,
        platform: platform::Platform,
    ) -> Result<Self, StartError> {
        let core = sync::Arc::new(core::Core::new(parts(&settings)?));
        let streams = sync::Arc::new(streams::Streams::default());
        let address = settings.process.caller_address;
        let bind = |error| StartError::Bind(address, error);
        let listener = listener::Listener::bind(sync::Arc::clone(&core), address)
            .await
            .map_err(bind)?;
        let caller = listener.address().map_err(bind)?;
        let stop = CancellationToken::new();
        let background = CancellationToken::new();
        tokio::spawn(background::reader::run(
            sync::Arc::clone(&core),
            streams,
            platform,
            background.clone(),
        ));
        tokio::spawn(background::load::run(
            sync::Arc::clone(&core),
            background.clone(),
        ));
        let linger = settings.drain.linger;
        let serving = listener.run(stop.clone(), linger);
        let task = tokio::spawn(async move {
            serving.await;
            background.cancel();
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

    /// Starts a graceful shutdown; calling it again changes nothing.
    pub fn stop(&self) {
        self.stop.cancel();
    }

    /// Waits until a shutdown has finished every request.
    pub async fn finished(self) {
        if let Err(error) = self.task.await {
            log::error!("event=daemon-failed error={:?}", error.to_string());
        }
    }
}

fn parts(settings: &settings::Settings) -> Result<core::Parts, StartError> {
    let metrics = metrics::Metrics::new().map_err(StartError::Metrics)?;
    let upstream = client::HttpUpstream::new(client::Settings::default());
    let requests = &settings.limits;
    Ok(core::Parts {
        clock: sync::Arc::new(clock::SystemClock::new()),
        upstream: sync::Arc::new(upstream) as sync::Arc<dyn upstream::Upstream>,
        router: |weights| {
            let settings = router::settings::Settings::new(weights);
            sync::Arc::new(router::scored::ScoredRouter::new(settings))
        },
        ledger: sync::Arc::new(ledger::closed::ClosedLedger),
        metrics: sync::Arc::new(metrics),
        limits: limits::Limits {
            head: requests.header_bytes,
            body: requests.body_bytes,
            requests: requests.concurrent_requests as usize,
            sender: requests.slow_sender,
        },
        domain: settings.process.domain.clone(),
    })
}
