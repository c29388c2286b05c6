//! Stand-ins, configuration and daemons of the quickstart.

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

/// Tokens of the last stage.
pub(crate) const TOKENS: u64 = 24;

/// The model of the last stage.
const MODEL: &str = "guide-8b";

/// Everything that runs.
pub(crate) struct Deployment {
    /// The daemons; the first two stand in `cordoba-a`, the third in `rosario-a`.
    pub(crate) daemons: Vec<daemon::Daemon>,
    /// The plain service.
    pub(crate) service: standins::server::Server,
    _platform: standins::platform::Platform,
    _engines: Vec<standins::engine::Engine>,
    _pools: Vec<standins::server::Server>,
}

impl Deployment {
    /// Stops the daemons gracefully.
    pub(crate) async fn stop(self) {
        for daemon in &self.daemons {
            daemon.stop();
        }
        for daemon in self.daemons {
            daemon.finished().await;
        }
    }
}

fn io(error: &std::io::Error) -> String {
    format!("a stand-in did not start: {error}")
}

/// Starts stand-ins and daemons and publishes the configuration.
pub(crate) async fn start() -> Result<Deployment, String> {
    let platform = standins::platform::start(standins::platform::Options::default())
        .await
        .map_err(|error| io(&error))?;
    let service = standins::service::start(
        standins::service::Echo::Sent,
        standins::service::Keys::Ignored,
    )
    .await
    .map_err(|error| io(&error))?;
    let mut pools = Vec::new();
    for _ in 0..6 {
        pools.push(standins::pool::start().await.map_err(|error| io(&error))?);
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
                .map_err(|error| io(&error))?,
        );
    }
    let text = configuration(&pools, &engines, &service)?;
    publish(platform.server.address, text).await?;
    let daemons = daemons(&platform).await?;
    Ok(Deployment {
        daemons,
        service,
        _platform: platform,
        _engines: engines,
        _pools: pools,
    })
}

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
    let mut add = |section: String| text.push_str(&section);
    add(format!(
        "[stage seating answer]\npool = assistant\nidempotency = idempotent\n\
         model = {MODEL}\ntokens = {TOKENS}\n"
    ));
    let names = ["encoders", "retrievers", "rerankers"];
    let domains = ["cordoba-a", "rosario-a"];
    for (index, server) in pools.iter().enumerate() {
        let (pool, domain) = (names[index / 2], domains[index % 2]);
        add(upstream(
            &format!("{pool}-{domain}"),
            pool,
            domain,
            server.address,
        ));
    }
    for (engine, domain) in engines.iter().zip(domains) {
        let name = format!("assistant-{domain}");
        add(upstream(&name, "assistant", domain, engine.server.address));
    }
    add(upstream(
        "ticket-sales-1",
        "ticket-sales",
        "cordoba-a",
        service.address,
    ));
    basilgrade_config::parse(&text, "quickstart.ini").map_err(|problems| problems.to_string())?;
    Ok(text)
}

fn upstream(name: &str, pool: &str, domain: &str, address: net::SocketAddr) -> String {
    let mut section = String::new();
    let _ = writeln!(
        section,
        "[upstream {name}]\npool = {pool}\ndomain = {domain}\naddress = {address}\ncapacity = 16"
    );
    section
}

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

/// An address of loopback that no other process listens on now.
fn free_address() -> Result<net::SocketAddr, String> {
    net::TcpListener::bind("127.0.0.1:0")
        .and_then(|socket| socket.local_addr())
        .map_err(|error| format!("no free port: {error}"))
}

async fn daemons(platform: &standins::platform::Platform) -> Result<Vec<daemon::Daemon>, String> {
    let domains = ["cordoba-a", "cordoba-a", "rosario-a"];
    let mut peers = Vec::new();
    for _ in domains {
        peers.push(free_address()?);
    }
    let seeds: Vec<_> = peers.iter().map(net::SocketAddr::to_string).collect();
    let mut daemons = Vec::new();
    for (index, domain) in domains.into_iter().enumerate() {
        let text = format!(
            "[process]\nvm = entry-{index}\ndomain = {domain}\ncaller-address = {}\n\
             peer-address = {}\nadmin-address = {}\n[platform]\naddress = {}\n\
             [peers]\nsecret = quickstart secret, change me\nseeds = {}\n[drain]\nlinger = 0ms\n",
            free_address()?,
            peers[index],
            free_address()?,
            platform.server.address,
            seeds.join(", "),
        );
        let settings = settings::parse(&text, "daemon.ini").map_err(|error| error.to_string())?;
        let access = platform::Platform::http(settings.platform.address);
        let daemon = daemon::Daemon::start(settings, access)
            .await
            .map_err(|error| error.to_string())?;
        daemons.push(daemon);
    }
    ready(&daemons).await?;
    Ok(daemons)
}

/// Waits until every daemon has a configuration and its domain holds slots.
///
/// Slots are granted some seconds after the start; keyed requests are refused until then.
async fn ready(daemons: &[daemon::Daemon]) -> Result<(), String> {
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
    Err("the daemons did not become ready within 30 s".to_owned())
}
