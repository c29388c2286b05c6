//! Setup of a daemon core in front of stand-ins, without a platform.

use std::net;
use std::sync;

use basilgrade_policy::router;
use basilgrade_server::core;
use basilgrade_server::ledger;
use basilgrade_server::limits;
use basilgrade_server::listener;
use basilgrade_server::metrics;
use basilgrade_types::clock;
use basilgrade_types::revision;
use basilgrade_upstream::client;
use tokio_util::sync::CancellationToken;

/// Starts a daemon core with `configuration` and returns the address that it listens on.
pub(crate) async fn daemon(configuration: &str, domain: &str) -> net::SocketAddr {
    let deployment = basilgrade_config::parse(configuration, "bench.ini")
        .expect("expected a valid configuration");
    let parts = core::Components {
        clock: sync::Arc::new(clock::SystemClock::new()),
        upstream: sync::Arc::new(client::HttpUpstream::new(client::Settings::default())),
        router: |weights, daemons| {
            let settings = router::settings::ScoreSettings {
                daemons: daemons as f32,
                ..router::settings::ScoreSettings::new(weights)
            };
            sync::Arc::new(router::scored::ScoredRouter::new(settings))
        },
        ledger: sync::Arc::new(ledger::rejecting::RejectingLedger),
        metrics: sync::Arc::new(
            metrics::Metrics::new().expect("expected the metrics to be set up"),
        ),
        limits: limits::Limits::default(),
        domain: domain.parse().expect("expected a valid domain name"),
    };
    let core = sync::Arc::new(core::Core::new(parts));
    core.install(revision::Revision(1), &deployment);
    let address = "127.0.0.1:0".parse().expect("expected a valid address");
    let listener = listener::Listener::bind(core, address)
        .await
        .expect("expected a free port");
    let address = listener.address().expect("expected a bound address");
    tokio::spawn(listener.run(CancellationToken::new(), clock::Millis::ZERO));
    address
}

/// Configuration sections that every benchmark uses.
pub(crate) fn common_sections() -> String {
    "[deployment]\nname = bench\n[domain a]\nregion = r\n\
     [customer c]\nrate = 1000000/s\nburst = 1000000\n"
        .to_owned()
}
