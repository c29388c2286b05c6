//! Construction of a daemon's components, before any task starts.

use std::sync;

use basilgrade_config::settings;
use basilgrade_membership::node_record;
use basilgrade_peer::links;
use basilgrade_peer::secret;
use basilgrade_peer::traffic;
use basilgrade_policy::router;
use basilgrade_types::clock;
use basilgrade_upstream::client;
use basilgrade_upstream::upstream;

use crate::background;
use crate::cluster;
use crate::core;
use crate::daemon;
use crate::journal::streams;
use crate::ledger;
use crate::limits;
use crate::metrics;
use crate::platform;

/// Components that the tasks of a daemon share.
pub(crate) struct Assembly {
    /// Reader of the log streams, with all components that it updates.
    pub(crate) reader: background::reader::Reader,
    /// Shared secret that authenticates links to other daemons.
    pub(crate) secret: secret::Secret,
    /// Byte counters of the links to other daemons.
    pub(crate) traffic: sync::Arc<traffic::Traffic>,
}

/// Builds the components of a daemon without starting any task.
pub(crate) fn assemble(
    settings: &settings::Settings,
    platform: &platform::Platform,
) -> Result<Assembly, daemon::StartError> {
    let process = &settings.process;
    let clock: sync::Arc<dyn clock::Clock> = sync::Arc::new(clock::SystemClock::new());
    let secret = secret::Secret::from_bytes(settings.peers.secret.as_bytes());
    let traffic = sync::Arc::new(traffic::Traffic::default());
    let links = sync::Arc::new(links::Links::new(
        secret.clone(),
        sync::Arc::clone(&traffic),
    ));
    let record = node_record::NodeRecord {
        vm: process.vm.clone(),
        incarnation: clock.now().into(),
        domain: process.domain.clone(),
        address: process.peer_address,
    };
    let cluster = cluster::Cluster::new(record, sync::Arc::clone(&clock), links.clone());
    let ledger = ledger::slots::SlotLedger::new(
        sync::Arc::clone(&clock),
        links.clone(),
        sync::Arc::new(cluster.clone()),
        sync::Arc::clone(&platform.log),
    );
    let components = components(settings, clock, sync::Arc::new(ledger.clone()))?;
    let reader = background::reader::Reader {
        core: sync::Arc::new(core::Core::new(components)),
        streams: sync::Arc::new(streams::Streams::default()),
        cluster,
        ledger,
        links,
        platform: platform.clone(),
    };
    Ok(Assembly {
        reader,
        secret,
        traffic,
    })
}

fn components(
    settings: &settings::Settings,
    clock: sync::Arc<dyn clock::Clock>,
    ledger: sync::Arc<dyn ledger::Ledger>,
) -> Result<core::Components, daemon::StartError> {
    let metrics = metrics::Metrics::new().map_err(daemon::StartError::Metrics)?;
    let upstream = client::HttpUpstream::new(client::Settings::default());
    metrics.observe_client(upstream.clone());
    let requests = &settings.limits;
    Ok(core::Components {
        clock,
        upstream: sync::Arc::new(upstream) as sync::Arc<dyn upstream::Upstream>,
        router: |weights, daemons| {
            let settings = router::settings::ScoreSettings {
                daemons: daemons as f32,
                ..router::settings::ScoreSettings::new(weights)
            };
            sync::Arc::new(router::scored::ScoredRouter::new(settings))
        },
        ledger,
        metrics: sync::Arc::new(metrics),
        limits: limits::Limits {
            head_bytes: requests.header_bytes,
            body_bytes: requests.body_bytes,
            max_requests: requests.concurrent_requests as usize,
            sender_timeout: requests.slow_sender,
        },
        domain: settings.process.domain.clone(),
    })
}
