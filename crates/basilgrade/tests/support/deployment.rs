//! Stand-ins, configuration and daemons of a test.

use std::fmt::Write;
use std::net;
use std::time;

use basilgrade_journal::config_record;
use basilgrade_journal::publication;
use basilgrade_journal::stream;
use basilgrade_standins as standins;
use basilgrade_standins::caller;
use basilgrade_types::revision;

use super::daemon;
use super::operator;

/// Tokens of the last stage.
pub(crate) const TOKENS: u64 = 40;

/// The model of the last stage.
pub(crate) const MODEL: &str = "guide-8b";

/// Names the customer of all requests.
pub(crate) const CUSTOMER: (&str, &str) = ("basilgrade-customer", "graduacion-sur");

/// Everything that runs.
pub(crate) struct Deployment {
    /// The platform.
    pub(crate) platform: standins::platform::Platform,
    /// Members of the pool `ticket-sales`.
    pub(crate) services: Vec<standins::server::Server>,
    /// Members of the pool `encoders`.
    pub(crate) encoders: Vec<standins::server::Server>,
    /// Members of the pool `assistant`.
    pub(crate) engines: Vec<standins::engine::Engine>,
    /// The daemons.
    pub(crate) daemons: Vec<daemon::Daemon>,
}

/// Starts stand-ins, publishes the configuration and starts a daemon in each of `domains`.
pub(crate) async fn start(domains: &[&str]) -> Deployment {
    let platform = standins::platform::start(standins::platform::Options::default())
        .await
        .expect("the platform starts");
    let mut services = Vec::new();
    let mut encoders = Vec::new();
    let mut engines = Vec::new();
    for _ in 0..2 {
        let echo = standins::service::Echo::Sent;
        let keys = standins::service::Keys::Ignored;
        let service = standins::service::start(echo, keys).await;
        services.push(service.expect("a service starts"));
        encoders.push(standins::pool::start().await.expect("an encoder starts"));
        let options = standins::engine::Options {
            models: vec![MODEL.to_owned()],
            token_interval: basilgrade_types::clock::Millis(20),
            ..standins::engine::Options::default()
        };
        let engine = standins::engine::start(options).await;
        engines.push(engine.expect("an engine starts"));
    }
    let mut deployment = Deployment {
        platform,
        services,
        encoders,
        engines,
        daemons: Vec::new(),
    };
    publish(&deployment.platform, 0, &deployment.configuration());
    for (index, _) in domains.iter().enumerate() {
        let name = format!("entry-{index}");
        deployment.daemons.push(daemon::Daemon::new(&name));
    }
    let seeds: Vec<_> = deployment
        .daemons
        .iter()
        .map(|daemon| daemon.peer)
        .collect();
    let address = deployment.platform.server.address;
    for (daemon, domain) in deployment.daemons.iter_mut().zip(domains) {
        daemon.configure(domain, address, &seeds);
        daemon.start();
    }
    deployment.settled().await;
    deployment
}

/// Appends a publication of `text` against revision `base` and returns its id.
pub(crate) fn publish(
    platform: &standins::platform::Platform,
    base: u64,
    text: &str,
) -> uuid::Uuid {
    let change = config_record::Change::Text(text.to_owned());
    let id = uuid::Uuid::now_v7();
    let (_, body) = publication::Publication::new(id, revision::Revision(base), change);
    platform.append(stream::CONFIG, &String::from_utf8_lossy(&body));
    id
}

impl Deployment {
    /// The configuration as published first.
    pub(crate) fn configuration(&self) -> String {
        let mut text = format!(
            "[deployment]\nname = test\n\
             [domain a]\nregion = north\n[domain b]\nregion = north\n\
             [pool encoders]\nkind = encoder\nprice = 5\n\
             [pool assistant]\nkind = engine\nfencing = checked\nprice = 400\n\
             [pool ticket-sales]\nkind = service\nprice = 10\n\
             [pipeline seating]\ndeadline = 10s\nstages = encode, answer\n\
             [stage seating encode]\npool = encoders\nidempotency = idempotent\n\
             [stage seating answer]\npool = assistant\nidempotency = idempotent\n\
             model = {MODEL}\ntokens = {TOKENS}\n\
             [service ticket-sales]\ndeadline = 3s\nidempotency = non-idempotent\n\
             [customer graduacion-sur]\nrate = 1000/s\nburst = 2000\n"
        );
        let engines = self.engines.iter().map(|engine| &engine.server);
        add(&mut text, "ticket-sales", self.services.iter());
        add(&mut text, "encoders", self.encoders.iter());
        add(&mut text, "assistant", engines);
        text
    }

    /// Waits until every running daemon is ready and can mint keys.
    pub(crate) async fn settled(&mut self) {
        for index in 0..self.daemons.len() {
            if !self.daemons[index].is_running() {
                continue;
            }
            let address = self.daemons[index].caller;
            until(|| async move {
                let ready = caller::get(address, "/readyz").await;
                let key = caller::post(address, "/v1/keys", &[], "").await;
                ready.is_ok_and(|response| response.status == 200)
                    && key.is_ok_and(|response| response.status == 200)
            })
            .await;
        }
    }

    /// Starts another daemon in `domain` that knows the running ones and returns its position.
    pub(crate) fn add(&mut self, name: &str, domain: &str) -> usize {
        let mut seeds = Vec::new();
        for daemon in &mut self.daemons {
            if daemon.is_running() {
                seeds.push(daemon.peer);
            }
        }
        let mut daemon = daemon::Daemon::new(name);
        daemon.configure(domain, self.platform.server.address, &seeds);
        daemon.start();
        self.daemons.push(daemon);
        self.daemons.len() - 1
    }

    /// Waits until all running daemons report a state of which `condition` holds.
    pub(crate) async fn reported(
        &mut self,
        condition: impl Fn(&basilgrade_admin::status::Status) -> bool,
    ) {
        for index in 0..self.daemons.len() {
            if !self.daemons[index].is_running() {
                continue;
            }
            let address = self.daemons[index].admin;
            until(|| async {
                let status = operator::status(address).await;
                status.is_ok_and(|status| condition(&status))
            })
            .await;
        }
    }

    /// Executions of charges with `key` over all services.
    pub(crate) fn charges(&self, key: &str) -> usize {
        let counts = self.services.iter();
        counts
            .map(|service| service.executions.count_by_key(key))
            .sum()
    }
}

fn add<'a>(
    text: &mut String,
    pool: &str,
    servers: impl Iterator<Item = &'a standins::server::Server>,
) {
    for (server, domain) in servers.zip(["a", "b"]) {
        let _ = writeln!(
            text,
            "[upstream {pool}-{domain}]\npool = {pool}\ndomain = {domain}\naddress = {}\n\
             capacity = 64",
            server.address
        );
    }
}

/// Waits until `condition` holds. The tests state no time; a condition that never holds ends the
/// test after a minute so that it does not hang.
pub(crate) async fn until<F>(condition: impl Fn() -> F)
where
    F: Future<Output = bool>,
{
    for _ in 0..600 {
        if condition().await {
            return;
        }
        tokio::time::sleep(time::Duration::from_millis(100)).await;
    }
    panic!("the condition did not hold within a minute");
}

/// Mints a key at the daemon that listens on `address`, again until one is given.
pub(crate) async fn mint(address: net::SocketAddr) -> String {
    for _ in 0..100 {
        let response = caller::post(address, "/v1/keys", &[], "").await;
        if let Ok(response) = response
            && response.status == 200
        {
            let value: serde_json::Value =
                serde_json::from_slice(&response.body).expect("the body is JSON");
            return value["key"].as_str().expect("a key").to_owned();
        }
        tokio::time::sleep(time::Duration::from_millis(100)).await;
    }
    panic!("no key was minted");
}
