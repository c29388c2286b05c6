//! Stand-ins, configuration and daemon processes of a test.

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

/// Number of tokens that the last stage generates.
pub(crate) const TOKENS: u64 = 40;

/// Model that the last stage uses.
pub(crate) const MODEL: &str = "guide-8b";

/// Header that names the customer of all requests.
pub(crate) const CUSTOMER: (&str, &str) = ("basilgrade-customer", "graduacion-sur");

/// The stand-ins and the daemon processes of a test.
pub(crate) struct Deployment {
    /// Stand-in for the users' platform.
    pub(crate) platform: standins::platform::Platform,
    /// Upstreams of the pool `ticket-sales`.
    pub(crate) services: Vec<standins::server::Server>,
    /// Upstreams of the pool `encoders`.
    pub(crate) encoders: Vec<standins::server::Server>,
    /// Upstreams of the pool `assistant`.
    pub(crate) engines: Vec<standins::engine::Engine>,
    /// The daemon processes, also those that have exited.
    pub(crate) daemons: Vec<daemon::Daemon>,
}

/// Starts the stand-ins, publishes the configuration, starts one daemon for each entry of `domains`
/// in that failure domain, and waits until all daemons are ready.
pub(crate) async fn start(domains: &[&str]) -> Deployment {
    let platform = standins::platform::start(standins::platform::Options::default())
        .await
        .expect("the platform stand-in starts");
    let mut services = Vec::new();
    let mut encoders = Vec::new();
    let mut engines = Vec::new();
    for _ in 0..2 {
        let echo = standins::service::Echo::Sent;
        let keys = standins::service::Keys::Ignored;
        let service = standins::service::start(echo, keys).await;
        services.push(service.expect("the service stand-in starts"));
        encoders.push(
            standins::pool::start()
                .await
                .expect("the encoder stand-in starts"),
        );
        let options = standins::engine::Options {
            models: vec![MODEL.to_owned()],
            token_interval: basilgrade_types::clock::Millis(20),
            ..standins::engine::Options::default()
        };
        let engine = standins::engine::start(options).await;
        engines.push(engine.expect("the engine stand-in starts"));
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
        .map(|daemon| daemon.peer_address)
        .collect();
    let address = deployment.platform.server.address;
    for (daemon, domain) in deployment.daemons.iter_mut().zip(domains) {
        daemon.configure(domain, address, &seeds);
        daemon.start();
    }
    deployment.wait_until_ready().await;
    deployment
}

/// Appends a publication of the configuration `text` on top of revision `base` to the log and
/// returns its id.
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
    /// Returns the text of the configuration that [`start`] publishes.
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
        add_upstreams(&mut text, "ticket-sales", self.services.iter());
        add_upstreams(&mut text, "encoders", self.encoders.iter());
        add_upstreams(&mut text, "assistant", engines);
        text
    }

    /// Waits until every running daemon reports ready and mints idempotency keys.
    pub(crate) async fn wait_until_ready(&mut self) {
        for index in 0..self.daemons.len() {
            if !self.daemons[index].is_running() {
                continue;
            }
            let address = self.daemons[index].caller_address;
            wait_until(|| async move {
                let ready = caller::get(address, "/readyz").await;
                let key = caller::post(address, "/v1/keys", &[], "").await;
                ready.is_ok_and(|response| response.status == 200)
                    && key.is_ok_and(|response| response.status == 200)
            })
            .await;
        }
    }

    /// Starts another daemon in the failure domain `domain`, with the running daemons as seeds, and
    /// returns its index.
    pub(crate) fn add_daemon(&mut self, name: &str, domain: &str) -> usize {
        let mut seeds = Vec::new();
        for daemon in &mut self.daemons {
            if daemon.is_running() {
                seeds.push(daemon.peer_address);
            }
        }
        let mut daemon = daemon::Daemon::new(name);
        daemon.configure(domain, self.platform.server.address, &seeds);
        daemon.start();
        self.daemons.push(daemon);
        self.daemons.len() - 1
    }

    /// Waits until each running daemon has reported a status for which `condition` holds.
    pub(crate) async fn wait_for_status(
        &mut self,
        condition: impl Fn(&basilgrade_admin::status::Status) -> bool,
    ) {
        for index in 0..self.daemons.len() {
            if !self.daemons[index].is_running() {
                continue;
            }
            let address = self.daemons[index].admin_address;
            wait_until(|| async {
                let status = operator::status(address).await;
                status.is_ok_and(|status| condition(&status))
            })
            .await;
        }
    }

    /// Counts the charges that all services executed with the idempotency key `key`.
    pub(crate) fn count_charges(&self, key: &str) -> usize {
        let counts = self.services.iter();
        counts
            .map(|service| service.executions.count_by_key(key))
            .sum()
    }
}

/// Adds a section for each of `servers` to the configuration `text`, in the domains `a` and `b`.
fn add_upstreams<'a>(
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

/// Polls until `condition` holds.
///
/// Panics after 600 polls (a minute or more), so that a condition that never holds fails the test
/// instead of blocking it.
pub(crate) async fn wait_until<F>(condition: impl Fn() -> F)
where
    F: Future<Output = bool>,
{
    for _ in 0..600 {
        if condition().await {
            return;
        }
        tokio::time::sleep(time::Duration::from_millis(100)).await;
    }
    panic!("the awaited condition did not hold in 600 polls, one every 100 ms");
}

/// Mints an idempotency key at the daemon with the caller address `address`, retrying up to 100
/// times.
pub(crate) async fn mint_key(address: net::SocketAddr) -> String {
    for _ in 0..100 {
        let response = caller::post(address, "/v1/keys", &[], "").await;
        if let Ok(response) = response
            && response.status == 200
        {
            let value: serde_json::Value = serde_json::from_slice(&response.body)
                .expect("the body of the key response is JSON");
            return value["key"]
                .as_str()
                .expect("the key response has the field `key`")
                .to_owned();
        }
        tokio::time::sleep(time::Duration::from_millis(100)).await;
    }
    panic!("the daemon at `{address}` minted no key in 100 attempts");
}
