//! Deployment of the quickstart: stand-ins, configuration and daemons in one process.

use std::fmt::Write;
use std::net;
use std::time;

use basilgrade_config::settings;
use basilgrade_journal::config_record;
use basilgrade_journal::publication;
use basilgrade_journal::stream;
use basilgrade_server::daemon;
use basilgrade_server::platform;
use basilgrade_standins as standins;
use basilgrade_types::revision;

/// Number of tokens that the last stage generates.
pub(crate) const TOKENS: u64 = 24;

/// Model that the last stage uses.
const MODEL: &str = "guide-8b";

/// The running stand-ins and daemons. Dropping a stand-in stops it.
pub(crate) struct Deployment {
    /// The daemons: two in the failure domain `cordoba-a`, then one in `rosario-a`.
    pub(crate) daemons: Vec<daemon::Daemon>,
    /// The upstream of the service `ticket-sales`.
    pub(crate) service: standins::server::Server,
    _platform: standins::platform::Platform,
    _engines: Vec<standins::engine::Engine>,
    _pools: Vec<standins::server::Server>,
}

impl Deployment {
    /// Shuts all daemons down gracefully and waits until they have finished.
    pub(crate) async fn stop(self) {
        for daemon in &self.daemons {
            daemon.stop();
        }
        for daemon in self.daemons {
            daemon.finished().await;
        }
    }
}

fn start_error(error: &std::io::Error) -> String {
    format!("cannot start a stand-in on loopback: {error}; check that ports are free")
}

/// Starts the stand-ins, publishes the configuration, starts the daemons and waits until they are
/// ready.
pub(crate) async fn start() -> Result<Deployment, String> {
    let platform = standins::platform::start(standins::platform::Options::default())
        .await
        .map_err(|error| start_error(&error))?;
    let service = standins::service::start(
        standins::service::Echo::Sent,
        standins::service::Keys::Ignored,
    )
    .await
    .map_err(|error| start_error(&error))?;
    let mut pools = Vec::new();
    for _ in 0..6 {
        pools.push(
            standins::pool::start()
                .await
                .map_err(|error| start_error(&error))?,
        );
    }
    let mut engines = Vec::new();
    for _ in 0..2 {
        let options = standins::engine::Options {
            models: vec![MODEL.to_owned()],
            ..standins::engine::Options::default()
        };
        engines.push(
            standins::engine::start(options)
                .await
                .map_err(|error| start_error(&error))?,
        );
    }
    let text = configuration(&pools, &engines, &service)?;
    publish(platform.server.address, text).await?;
    let daemons = start_daemons(&platform).await?;
    Ok(Deployment {
        daemons,
        service,
        _platform: platform,
        _engines: engines,
        _pools: pools,
    })
}

/// Returns the text of the configuration, after validating it.
fn configuration(
    pools: &[standins::server::Server],
    engines: &[standins::engine::Engine],
    service: &standins::server::Server,
) -> Result<String, String> {
    let mut text = String::from(
        "[deployment]\nname = quickstart\n\
         [domain cordoba-a]\nregion = cordoba\n\
         [domain rosario-a]\nregion = rosario\n\
         [link cordoba rosario]\nprice = 90\nlatency = 8ms\n\
         [pool encoders]\nkind = encoder\nprice = 5\n\
         [pool retrievers]\nkind = retriever\nprice = 8\n\
         [pool rerankers]\nkind = reranker\nprice = 20\n\
         [pool assistant]\nkind = engine\nfencing = checked\nprice = 400\n\
         [pool ticket-sales]\nkind = service\nprice = 10\n\
         [pipeline seating]\ndeadline = 10s\nstages = encode, retrieve, rerank, answer\n\
         [stage seating encode]\npool = encoders\nidempotency = idempotent\n\
         [stage seating retrieve]\npool = retrievers\nidempotency = idempotent\n\
         [stage seating rerank]\npool = rerankers\nidempotency = idempotent\nskip = true\n\
         [service ticket-sales]\ndeadline = 3s\nidempotency = non-idempotent\n\
         [customer graduacion-sur]\nrate = 100/s\nburst = 200\n",
    );
    let mut add_section = |section: String| text.push_str(&section);
    add_section(format!(
        "[stage seating answer]\npool = assistant\nidempotency = idempotent\n\
         model = {MODEL}\ntokens = {TOKENS}\n"
    ));
    let pool_names = ["encoders", "retrievers", "rerankers"];
    let domains = ["cordoba-a", "rosario-a"];
    for (index, server) in pools.iter().enumerate() {
        let (pool, domain) = (pool_names[index / 2], domains[index % 2]);
        add_section(upstream_section(
            &format!("{pool}-{domain}"),
            pool,
            domain,
            server.address,
        ));
    }
    for (engine, domain) in engines.iter().zip(domains) {
        let name = format!("assistant-{domain}");
        add_section(upstream_section(
            &name,
            "assistant",
            domain,
            engine.server.address,
        ));
    }
    add_section(upstream_section(
        "ticket-sales-1",
        "ticket-sales",
        "cordoba-a",
        service.address,
    ));
    basilgrade_config::parse(&text, "quickstart.ini").map_err(|problems| problems.to_string())?;
    Ok(text)
}

/// Returns the configuration section of one upstream.
fn upstream_section(name: &str, pool: &str, domain: &str, address: net::SocketAddr) -> String {
    let mut section = String::new();
    let _ = writeln!(
        section,
        "[upstream {name}]\npool = {pool}\ndomain = {domain}\naddress = {address}\ncapacity = 16"
    );
    section
}

/// Appends the first configuration to the log of the platform at `address`.
async fn publish(address: net::SocketAddr, text: String) -> Result<(), String> {
    let change = config_record::Change::Text(text);
    let base = revision::Revision::default();
    let (_, body) = publication::Publication::new(uuid::Uuid::now_v7(), base, change);
    platform::Platform::http(address)
        .log
        .append(stream::CONFIG, body)
        .await
        .map(|_| ())
        .map_err(|error| error.to_string())
}

/// Returns a loopback address whose port was free at the time of the call.
fn free_address() -> Result<net::SocketAddr, String> {
    net::TcpListener::bind("127.0.0.1:0")
        .and_then(|socket| socket.local_addr())
        .map_err(|error| format!("cannot bind a loopback port: {error}; free some ports"))
}

/// Starts the three daemons and waits until they are ready.
async fn start_daemons(
    platform: &standins::platform::Platform,
) -> Result<Vec<daemon::Daemon>, String> {
    let domains = ["cordoba-a", "cordoba-a", "rosario-a"];
    let mut peer_addresses = Vec::new();
    for _ in domains {
        peer_addresses.push(free_address()?);
    }
    let seeds: Vec<_> = peer_addresses
        .iter()
        .map(net::SocketAddr::to_string)
        .collect();
    let mut daemons = Vec::new();
    for (index, domain) in domains.into_iter().enumerate() {
        let text = format!(
            "[process]\nvm = entry-{index}\ndomain = {domain}\ncaller-address = {}\n\
             peer-address = {}\nadmin-address = {}\n[platform]\naddress = {}\n\
             [peers]\nsecret = quickstart secret, change me\nseeds = {}\n[drain]\nlinger = 0ms\n",
            free_address()?,
            peer_addresses[index],
            free_address()?,
            platform.server.address,
            seeds.join(", "),
        );
        let settings = settings::parse(&text, "daemon.ini").map_err(|error| error.to_string())?;
        let client = platform::Platform::http(settings.platform.address);
        let daemon = daemon::Daemon::start(settings, client)
            .await
            .map_err(|error| error.to_string())?;
        daemons.push(daemon);
    }
    wait_until_ready(&daemons).await?;
    Ok(daemons)
}

/// Waits until every daemon has a configuration and can mint idempotency keys.
///
/// Slots, which keys need, are granted some seconds after the start. Until then, requests with keys
/// are refused.
async fn wait_until_ready(daemons: &[daemon::Daemon]) -> Result<(), String> {
    let is_ready = |daemon: &daemon::Daemon| {
        daemon.core.revision() > revision::Revision::default()
            && daemon.core.components.ledger.mint().is_some()
    };
    for _ in 0..300 {
        if daemons.iter().all(is_ready) {
            return Ok(());
        }
        tokio::time::sleep(time::Duration::from_millis(100)).await;
    }
    Err(
        "the daemons did not become ready within 30 s; run the quickstart again on an idle machine"
            .to_owned(),
    )
}
