//! A fleet of daemon processes with links between them, before stand-ins of upstreams and the store.

use std::net;
use std::sync;
use std::sync::atomic;
use std::time;

use rand::RngExt as _;

use crate::client;
use crate::daemon;
use crate::network;
use crate::port;
use crate::server;
use crate::store;
use crate::store_view;
use crate::upstream;

/// Failure domains with their regions, and their numbers of large and small machines, as on the
/// larger mastering deployment.
pub(crate) const DOMAINS: [(&str, &str, usize, usize); 6] = [
    ("accra-osu", "accra", 2, 7),
    ("kumasi-adum", "kumasi", 2, 9),
    ("tamale-central", "tamale", 2, 7),
    ("accra-labone", "accra", 2, 9),
    ("kumasi-bantama", "kumasi", 2, 8),
    ("tamale-lamashegu", "tamale", 2, 7),
];

/// Bandwidths of the links of large and small machines, in Mbit/s.
const LARGE_LINK: f64 = 200.0;
const SMALL_LINK: f64 = 10.0;

/// One-way latencies of the links.
const IN_DOMAIN: time::Duration = time::Duration::from_micros(100);
const IN_REGION: time::Duration = time::Duration::from_micros(500);
const BETWEEN_REGIONS: time::Duration = time::Duration::from_millis(20);
const TO_STORE: time::Duration = time::Duration::from_millis(1);

/// Time that the store takes to answer.
pub(crate) const STORE_TIME: time::Duration = time::Duration::from_millis(2);

/// Number of upstreams that serve no request but are registered.
const OTHER_UPSTREAMS: usize = 136;

/// Interval at which an upstream renews its registration.
const HEARTBEAT: time::Duration = time::Duration::from_millis(1200);

/// Interval between requests to each daemon that show the configuration in force.
const PROBE_INTERVAL: time::Duration = time::Duration::from_millis(100);

/// Pools between which each version moves the route of the probes.
const POOLS: [&str; 2] = ["desk", "till"];

/// A request that shows which version of the configuration a daemon has.
#[derive(Clone, Debug)]
pub(crate) struct Probe {
    pub(crate) daemon: usize,
    pub(crate) number: usize,
    pub(crate) sent_at: time::Instant,
}

/// A version of the configuration and when the store acknowledged it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Published {
    pub(crate) version: u64,
    pub(crate) at: time::Instant,
}

/// A disruption of one daemon, or of the store for all.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Disruption {
    pub(crate) daemon: Option<usize>,
    pub(crate) began: time::Instant,
    pub(crate) ended: time::Instant,
}

pub(crate) struct Fleet {
    pub(crate) store: sync::Arc<store::Store>,
    pub(crate) domains: Vec<usize>,
    pub(crate) machines: Vec<sync::Arc<network::Machine>>,
    pub(crate) views: Vec<sync::Arc<store_view::StoreView>>,
    pub(crate) daemons: Vec<sync::Mutex<daemon::Daemon>>,
    pub(crate) upstreams: Vec<sync::Arc<upstream::Upstream>>,
    pub(crate) probes: sync::Mutex<Vec<Probe>>,
    pub(crate) published: sync::Mutex<Vec<Published>>,
    pub(crate) disruptions: sync::Mutex<Vec<Disruption>>,
    /// Whether a fault hits the daemon.
    pub(crate) is_hit: Vec<atomic::AtomicBool>,
    caller_addresses: Vec<net::SocketAddr>,
    _servers: Vec<server::Server>,
}

fn address(octets: [u8; 3], port: u16) -> net::SocketAddr {
    let [a, b, c] = octets;
    net::SocketAddr::new(net::Ipv4Addr::new(127, a, b, c).into(), port)
}

/// Octets of equal length, so that addresses can be replaced in encoded registrations.
fn octet(daemon: usize) -> u8 {
    100 + u8::try_from(daemon).expect("a fleet has at most 99 daemons")
}

fn latency(a: usize, b: usize) -> time::Duration {
    if a == b {
        IN_DOMAIN
    } else if DOMAINS[a].1 == DOMAINS[b].1 {
        IN_REGION
    } else {
        BETWEEN_REGIONS
    }
}

fn settings(
    name: &str,
    domain: usize,
    own: u8,
    port: u16,
    seeds: &[String],
    memory: usize,
) -> String {
    let regions = DOMAINS.map(|(name, region, ..)| format!("{name} = {region}\n"));
    let regions = regions.concat();
    format!(
        "[vm]\nname = {name}\ndomain = {}\n[regions]\n{regions}[listen]\n\
         callers = 127.{own}.200.101:{port}\nreadiness = 127.{own}.200.102:{port}\n\
         peers = 127.{own}.200.103:{port}\n[peers]\nseeds = {}\n\
         [platform]\naddress = 127.{own}.250.103:{port}\nheartbeat = 1200ms\n\
         [bounds]\nleaving = 4000ms\nconfiguration = 4000ms\n[shutdown]\ngrace = 8s\n\
         [limits]\nmemory = {memory}MB\n[balance]\nmode = off\n\
         [retries]\nratio = 0.2\nfloor = 158\nwindow = 10s\n\
         [queue]\norder = adaptive\ncustomers = share\nwait = all\nplan = calls\n\
         slow-upstreams = use\n[admission]\ndrop-unservable = on\n",
        DOMAINS[domain].0,
        seeds.join(",")
    )
}

/// Returns a configuration with `routes` idle routes; its version decides the pool of the probes and
/// the name of their customer.
fn configuration(version: u64, routes: usize) -> String {
    let route = |name: String, host: String, prefix: String, service: &str| {
        serde_json::json!({
            "name": name, "host": host, "path-prefix": prefix, "kind": "safe",
            "service": service, "timeout-ms": 1000, "target-latency-ms": 200, "priority": 2,
            "max-attempts": 2, "public": false,
        })
    };
    let idle = |number: usize| {
        route(
            format!("idle-route-{number}"),
            format!("host-{}.example", number % 97),
            format!("/added-{number}/path/"),
            POOLS[number % 2],
        )
    };
    let pool = POOLS[version as usize % POOLS.len()];
    let probe = route(
        "probe".into(),
        "users.example".into(),
        "/probe/".into(),
        pool,
    );
    let routes: Vec<_> = std::iter::once(probe)
        .chain((0..routes).map(idle))
        .collect();
    serde_json::json!({
        "version": version,
        "routes": routes,
        "services": POOLS.map(|name| serde_json::json!({"name": name, "max-connections": 100})),
        "limits": {"max-header-bytes": 16384, "max-body-bytes": 65536,
            "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
        "tenants": [{"name": format!("version-{version}"), "api-keys": ["key-one"], "priority": 1}],
    })
    .to_string()
}

/// Starts an upstream of each pool in each failure domain.
async fn start_upstreams() -> (Vec<sync::Arc<upstream::Upstream>>, Vec<server::Server>) {
    let mut upstreams = Vec::new();
    let mut servers = Vec::new();
    for pool in POOLS {
        for number in 0..DOMAINS.len() {
            let upstream = sync::Arc::new(upstream::Upstream {
                id: format!("{pool}-{number}"),
                ..Default::default()
            });
            let server = server::start(sync::Arc::clone(&upstream)).await;
            let set = upstream.address.set(server.address);
            set.expect("the address is set once");
            servers.push(server);
            upstreams.push(upstream);
        }
    }
    (upstreams, servers)
}

/// The failure domain and the link of each machine.
fn lay_out() -> (Vec<usize>, Vec<sync::Arc<network::Machine>>) {
    let machines = DOMAINS.into_iter().enumerate();
    let machines = machines.flat_map(|(domain, (_, _, large, small))| {
        let links = [LARGE_LINK].repeat(large).into_iter();
        let links = links.chain([SMALL_LINK].repeat(small));
        links.map(move |link| (domain, network::Machine::new(link)))
    });
    machines.unzip()
}

impl Fleet {
    /// Starts all daemons.
    pub(crate) async fn start(routes: usize) -> sync::Arc<Self> {
        let port = port::free_address().port();
        let store = sync::Arc::<store::Store>::default();
        let (upstreams, mut servers) = start_upstreams().await;
        let (domains, machines) = lay_out();
        let mut views = Vec::new();
        let mut daemons = Vec::new();
        let mut caller_addresses = Vec::new();
        for (own, from) in machines.iter().enumerate() {
            let others = || (0..machines.len()).filter(move |other| *other != own);
            let proxy = |other| address([octet(own), octet(other), 103], port);
            let listener = |other| address([octet(other), 200, 103], port);
            for other in others() {
                let route = network::Route {
                    from: sync::Arc::clone(from),
                    to: Some(sync::Arc::clone(&machines[other])),
                    latency: latency(domains[own], domains[other]),
                    target: listener(other),
                };
                tokio::spawn(route.serve(proxy(other)));
            }
            let replacement = |other| (listener(other).to_string(), proxy(other).to_string());
            let view = sync::Arc::new(store_view::StoreView {
                store: sync::Arc::clone(&store),
                addresses: others().map(replacement).collect(),
                treatment: sync::Mutex::new(store_view::Treatment::Answers(STORE_TIME)),
                reads: atomic::AtomicUsize::new(0),
            });
            let server = server::start(sync::Arc::clone(&view)).await;
            let route = network::Route {
                from: sync::Arc::clone(from),
                to: None,
                latency: TO_STORE,
                target: server.address,
            };
            tokio::spawn(route.serve(address([octet(own), 250, 103], port)));
            servers.push(server);
            views.push(view);
            let domain = domains[own];
            let number = own
                - domains
                    .iter()
                    .position(|known| *known == domain)
                    .unwrap_or(own);
            let name = format!("edge-{}-{}", DOMAINS[domain].0, number + 1);
            let seeds = [7, 21, 40].map(|seed| proxy(seed).to_string());
            let memory = if number < 2 { 512 } else { 160 };
            let text = settings(&name, domain, octet(own), port, &seeds, memory);
            let addresses =
                [101, 102, 103].map(|listener| address([octet(own), 200, listener], port));
            caller_addresses.push(addresses[0]);
            daemons.push(sync::Mutex::new(daemon::Daemon::with_settings(
                &name, addresses, &text,
            )));
        }
        let fleet = sync::Arc::new(Self {
            store,
            domains,
            machines,
            views,
            daemons,
            upstreams,
            probes: sync::Mutex::default(),
            published: sync::Mutex::default(),
            disruptions: sync::Mutex::default(),
            is_hit: caller_addresses.iter().map(|_| false.into()).collect(),
            caller_addresses,
            _servers: servers,
        });
        fleet.register_upstreams(0);
        fleet.publish(1, routes);
        for daemon in 0..fleet.daemons.len() {
            fleet.lock_daemon(daemon).start();
        }
        fleet
    }

    pub(crate) fn lock_daemon(&self, daemon: usize) -> sync::MutexGuard<'_, daemon::Daemon> {
        self.daemons[daemon]
            .lock()
            .expect("no holder of the lock panics")
    }

    pub(crate) fn name(&self, daemon: usize) -> String {
        self.lock_daemon(daemon).name.clone()
    }

    /// Writes the registrations of all upstreams, for the heartbeat `sequence`.
    fn register_upstreams(&self, sequence: u64) {
        let register = |id: &str, pool: &str, address: &str, domain: usize| {
            let entry = serde_json::json!({"service": pool, "address": address,
                "zone": DOMAINS[domain].0, "version": "v1", "slots": 48, "state": "ready",
                "sequence": sequence, "born": 1_796_500_000_000_u64, "cold-remaining-ms": 0});
            self.store.put("keyed.servers", id, &entry.to_string());
        };
        for (number, upstream) in self.upstreams.iter().enumerate() {
            let address = upstream.address.get().expect("the upstream was started");
            let (pool, domain) = (POOLS[number / DOMAINS.len()], number % DOMAINS.len());
            register(&upstream.id, pool, &address.to_string(), domain);
        }
        for number in 0..OTHER_UPSTREAMS {
            let address = format!("127.99.0.{}:9", number + 1);
            let domain = number % DOMAINS.len();
            register(&format!("i-{number:08x}"), "other", &address, domain);
        }
    }

    /// Renews the registrations of upstreams; never returns.
    pub(crate) async fn keep_registered(self: sync::Arc<Self>) {
        for sequence in 1.. {
            tokio::time::sleep(HEARTBEAT).await;
            self.register_upstreams(sequence);
        }
    }

    /// Publishes the configuration `version` with `routes` idle routes.
    pub(crate) fn publish(&self, version: u64, routes: usize) {
        self.store
            .put("keyed.op", "config", &configuration(version, routes));
        let at = time::Instant::now();
        let mut published = self.published.lock().expect("no holder of the lock panics");
        published.push(Published { version, at });
    }

    /// Sends requests to the daemon with this index that show its configuration; never returns.
    pub(crate) async fn probe(self: sync::Arc<Self>, daemon: usize) {
        let jitter = rand::rng().random_range(0..PROBE_INTERVAL.as_millis() as u64);
        tokio::time::sleep(time::Duration::from_millis(jitter)).await;
        for number in 0.. {
            let id = format!("{daemon}-{number}");
            let request = client::request(&id, "GET", "/probe/x");
            let sent_at = time::Instant::now();
            let sending = client::send(self.caller_addresses[daemon], request, "");
            let answer = tokio::time::timeout(time::Duration::from_secs(1), sending).await;
            if answer.is_ok_and(|answer| answer.is_some_and(|answer| answer.is_served())) {
                let mut probes = self.probes.lock().expect("no holder of the lock panics");
                probes.push(Probe {
                    daemon,
                    number,
                    sent_at,
                });
            }
            tokio::time::sleep_until((sent_at + PROBE_INTERVAL).into()).await;
        }
    }

    /// The daemon of the failure domain `domain` that reads the store most often during `span`.
    pub(crate) async fn reader(&self, domain: usize, span: time::Duration) -> usize {
        let reads = |daemon: usize| self.views[daemon].reads.load(atomic::Ordering::Relaxed);
        let before: Vec<_> = (0..self.views.len()).map(reads).collect();
        tokio::time::sleep(span).await;
        let members = (0..self.views.len()).filter(|daemon| self.domains[*daemon] == domain);
        members
            .max_by_key(|daemon| reads(*daemon) - before[*daemon])
            .expect("a failure domain has daemons")
    }

    /// Records that `daemon`, or the store for all of them, was disrupted from `began` until now.
    pub(crate) fn record_disruption(&self, daemon: Option<usize>, began: time::Instant) {
        let ended = time::Instant::now();
        let mut disruptions = self
            .disruptions
            .lock()
            .expect("no holder of the lock panics");
        disruptions.push(Disruption {
            daemon,
            began,
            ended,
        });
    }
}
